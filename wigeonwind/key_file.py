"""Shared keys, read from files so that they do not appear on command lines."""


def read_key_file(path: str) -> str:
    """Return the key in a file without surrounding whitespace, "" for an empty `path`.

    Raise OSError if the file cannot be read.
    """
    if not path:
        return ""
    with open(path, encoding="utf-8") as file:
        return file.read().strip()
