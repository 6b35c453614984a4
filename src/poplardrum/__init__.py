"""Dispatcher of sub-second tasks between callers and endpoints."""

import typing

VERSION: typing.Final = '0.1.0'
