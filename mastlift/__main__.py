"""Entry point of `python -m mastlift`."""

from mastlift.cli import main

if __name__ == "__main__":
    main()
