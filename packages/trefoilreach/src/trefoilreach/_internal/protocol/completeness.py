"""Framing of HTTP answers."""

from enum import Enum


class Framing(Enum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
