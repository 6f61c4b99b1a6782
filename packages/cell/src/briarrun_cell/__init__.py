"""One holder schedules a cell whose state lives in a linearizable store."""
