"""Run the command line with ``python -m lacewingcross``."""

from .cli.main import main

if __name__ == "__main__":
    main()
