"""Prints a new key of the bootstrap operator, and the key's hash."""

from __future__ import annotations

from bambooglade.router import operator_credentials
from bambooglade.table import credentials


def main() -> None:
    """Prints key and hash on one line."""
    made = credentials.new_key(operator_credentials.BOOTSTRAP_OPERATOR)
    print(made.key, made.key_hash)


if __name__ == "__main__":
    main()
