"""Tests of poplardrum."""
