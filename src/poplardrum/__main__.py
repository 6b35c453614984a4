"""Entry point of `python -m poplardrum`."""

from poplardrum import start

if __name__ == '__main__':
    start.main()
