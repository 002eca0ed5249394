"""Shared keys, which are kept in files so that no command line shows them."""


def read_key_file(path: str) -> str:
    """Return the key in a file without surrounding space; empty if `path` is empty.

    Raise OSError if the file cannot be read.
    """
    if not path:
        return ""
    with open(path, encoding="utf-8") as file:
        return file.read().strip()
