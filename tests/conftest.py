import sys
from pathlib import Path

# The adapter to the platform is not installed: its folder is put on the path, as its launcher does.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
