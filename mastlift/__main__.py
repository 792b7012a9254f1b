"""`python -m mastlift`: the one command line."""

from mastlift.cli import main

if __name__ == "__main__":
    main()
