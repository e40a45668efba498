"""Lets `python -m nutmeghook` do what the `nutmeghook` command does."""

from nutmeghook import cli

if __name__ == "__main__":
    cli.main()
