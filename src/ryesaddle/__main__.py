"""Runs the command line for ``python -m ryesaddle``."""

from ryesaddle.cli.main import run

if __name__ == "__main__":
    run()
