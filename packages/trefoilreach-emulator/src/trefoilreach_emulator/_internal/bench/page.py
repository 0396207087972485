"""Writes measured tables into a Markdown page between two marker lines."""

from pathlib import Path


class PageError(ValueError):
    """A page without the marker lines."""


def replace_section(path: Path, marker: str, text: str) -> None:
    """Replace what stands between the begin and end lines of ``marker``.

    :raises PageError: when the page lacks one of the two lines.
    """
    begin, end = f"<!-- begin {marker} -->", f"<!-- end {marker} -->"
    page = path.read_text(encoding="utf-8")
    if begin not in page or end not in page:
        raise PageError(f"{path} lacks the lines {begin} and {end}")
    head, _, rest = page.partition(begin)
    _, _, tail = rest.partition(end)
    path.write_text(f"{head}{begin}\n\n{text.strip()}\n\n{end}{tail}", encoding="utf-8")
