"""Helpers of all operator handlers: authorization, the base version, checked changes."""

import re
from collections.abc import Callable
from typing import Any

from result import Err

from trefoilreach._internal.api.auth import require_role
from trefoilreach._internal.api.parts import Parts
from trefoilreach._internal.api.web import WebRequest, WebResponse, respond_json
from trefoilreach._internal.protocol.openai import parse_json_object
from trefoilreach._internal.protocol.verdict import Refusal, build_bad_request_refusal
from trefoilreach._internal.state.config import ConfigDocument, Key
from trefoilreach._internal.state.config_check import FieldError, check_document

DocumentEdit = Callable[[ConfigDocument], ConfigDocument]

ANY_VERSION = "*"
# Operators send single entries; the largest is a route that lists every account.
_BODY_LIMIT_BYTES = 1024**2


def require_operator(parts: Parts, request: WebRequest) -> Key:
    """Return the operator key of a request."""
    return require_role(parts, request, "operator")


def read_fields(request: WebRequest) -> dict[str, Any]:
    """Return the JSON object of a request's body."""
    return parse_json_object(request.read_body(_BODY_LIMIT_BYTES))


def read_if_match(request: WebRequest) -> int | None:
    """Return the configuration version in the If-Match header; None stands for ``*``.

    :raises Refusal: 428 when the header is missing, 400 when it is not a version.
    """
    text = request.header("If-Match")
    if text is None:
        message = "If-Match must state the configuration version that the change was made against"
        raise Refusal(428, "version_required", message, param="If-Match")
    if text.strip() == ANY_VERSION:
        return None
    match = re.fullmatch(r'"?([0-9]{1,18})"?', text.strip())
    if match is None:
        raise build_bad_request_refusal("If-Match must be a configuration version", "If-Match")
    return int(match.group(1))


def read_base_version(request: WebRequest) -> int:
    """Return the configuration version in the If-Match header; ``*`` is refused with 400."""
    version = read_if_match(request)
    if version is None:
        message = "If-Match must name a version; '*' is for withdrawals only"
        raise build_bad_request_refusal(message, "If-Match")
    return version


def build_field_refusal(error: FieldError) -> Refusal:
    """Return the 400 refusal for an invalid field."""
    return build_bad_request_refusal(str(error), error.param)


def apply_change(parts: Parts, base: int, edit: DocumentEdit) -> ConfigDocument:
    """Edit the configuration, check the result and put it in force.

    :param base: version that the change was made against.
    :raises Refusal: when the change is rejected; no part of it is in force then.
    """

    def edit_checked(document: ConfigDocument) -> ConfigDocument:
        edited = edit(document)
        try:
            check_document(edited)
        except FieldError as error:
            raise build_field_refusal(error) from error
        return edited

    outcome = parts.config_sync.change(base, edit_checked)
    if isinstance(outcome, Err):
        raise outcome.err_value
    return outcome.ok_value


def respond_version(version: int, fields: dict[str, Any], status: int = 200) -> WebResponse:
    """Return a JSON response with a configuration version in its body and its ETag header."""
    response = respond_json({"version": version, **fields}, status)
    response.headers.append(("ETag", f'"{version}"'))
    return response
