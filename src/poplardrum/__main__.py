"""Run the command line with `python -m poplardrum`."""

from poplardrum import cli

if __name__ == '__main__':
    cli.main()
