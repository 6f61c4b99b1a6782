"""Plot of the journal's scores."""
