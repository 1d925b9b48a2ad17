"""Lets ``python -m ryesaddle`` run the command line."""

from ryesaddle.cli.main import run

if __name__ == "__main__":
    run()
