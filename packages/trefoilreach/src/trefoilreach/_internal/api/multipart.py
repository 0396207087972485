"""Parser of multipart forms, on top of the MIME parser of the standard library."""

from email import policy
from email.message import EmailMessage, Message
from email.parser import BytesParser
from typing import NamedTuple

from trefoilreach._internal.api.web import WebRequest
from trefoilreach._internal.protocol.verdict import build_bad_request_refusal


class FormPart(NamedTuple):
    """One field of a form; ``filename`` is empty for a plain field."""

    filename: str
    data: bytes


def read_form(request: WebRequest, limit: int) -> dict[str, FormPart]:
    """Read the fields of a ``multipart/form-data`` body.

    :param limit: largest accepted size of the body in bytes.
    :raises Refusal: 413 when the body is longer, 400 when it is not such a form.
    """
    content_type = request.headers.get("content-type", "")
    if not content_type.lower().startswith("multipart/form-data"):
        raise build_bad_request_refusal("the Content-Type must be multipart/form-data")
    header = f"Content-Type: {content_type}\r\n\r\n".encode("latin-1", "replace")
    message = BytesParser(_class=EmailMessage, policy=policy.HTTP).parsebytes(
        header + request.read_body(limit)
    )
    if not message.is_multipart() or message.defects:
        raise build_bad_request_refusal("the body is not a complete multipart form")
    return dict(_read_part(part) for part in message.iter_parts())


def _read_part(part: Message) -> tuple[str, FormPart]:
    name = part.get_param("name", header="content-disposition")
    if not isinstance(name, str) or not name or part.is_multipart():
        raise build_bad_request_refusal("a part of the form has no field name")
    data = part.get_payload(decode=True)
    if not isinstance(data, bytes):
        raise build_bad_request_refusal(f"the field {name!r} cannot be read", name)
    return name, FormPart(part.get_filename() or "", data)
