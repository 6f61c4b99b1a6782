"""Run the cell daemon from a checkout, without installing the packages."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
for source in (
    "packages/core/src",
    "packages/wire/src",
    "packages/cell/src",
    "platform/src",
):
    sys.path.insert(0, str(ROOT / source))

from briarrun_platform.main import main  # noqa: E402

sys.exit(main())
