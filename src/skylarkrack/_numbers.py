"""Numbers in the texts that other programs write."""


def whole_number(text: str, *, max_digits: int) -> int | None:
    """Return the number that *text* is; None if it is none, or has more than *max_digits*.

    `str.isdigit` alone accepts digits that `int` rejects, and `int` rejects thousands of digits.
    """
    is_number = len(text) <= max_digits and text.isascii() and text.isdigit()
    return int(text) if is_number else None
