"""Schemas and conversions of request and response bodies. No I/O.

Values are bytes: UTF-8 text under `value`, other bytes under `value_base64`.
"""

from __future__ import annotations

import base64
import binascii
from typing import Annotated, Any, Literal

import msgspec

from mastlift.store import commands as c
from mastlift.store.history import Change

MAX_OPERATIONS = 1024  # per list of a transaction
MAX_RENEWALS = 1000  # leases per request
SESSION, NUMBER, RECEIVED = "Mastlift-Session", "Mastlift-Command", "Mastlift-Received"
INDEX, LIFE = "Mastlift-Index", "Mastlift-Life"


class BadRequest(Exception):
    """An invalid request. `field` names the invalid part, `status` is the HTTP status."""

    def __init__(self, field: str, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.field, self.status = field, status


class _Call(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class PutCall(_Call, frozen=True):
    key: str
    value: str | None = None
    value_base64: str | None = None
    lease: Number = 0
    if_revision: Number | None = None


class DeleteCall(_Call, frozen=True):
    key: str
    if_revision: Number | None = None


class GetCall(_Call, frozen=True):
    key: str


class OperationCall(_Call, frozen=True):
    """An operation of a transaction: exactly one of the fields is set."""

    put: PutCall | None = None
    delete: DeleteCall | None = None
    get: GetCall | None = None


class CompareCall(_Call, frozen=True):
    """Compares a key's field with a number, or its value with text or bytes."""

    key: str
    field: c.Field
    test: c.Comparison = c.Comparison.EQUAL
    number: Number | None = None
    value: str | None = None
    value_base64: str | None = None


class TxnCall(_Call, frozen=True):
    compare: Annotated[list[CompareCall], msgspec.Meta(max_length=MAX_OPERATIONS)] = []
    then: Annotated[list[OperationCall], msgspec.Meta(max_length=MAX_OPERATIONS)] = []
    otherwise: Annotated[list[OperationCall], msgspec.Meta(max_length=MAX_OPERATIONS)] = []


class LeaseCall(_Call, frozen=True):
    ttl_ms: Annotated[int, msgspec.Meta(ge=100, le=c.MAX_TTL_MS)]


class RenewCall(_Call, frozen=True):
    leases: Annotated[list[Number], msgspec.Meta(max_length=MAX_RENEWALS)]


class HelloCall(_Call, frozen=True):
    group: str
    id: str


class GroupCall(_Call, frozen=True):
    do: Literal["add", "remove", "hand-over"]
    name: str


def decode(body: bytes, type_: type[Any]) -> Any:
    """Decode a JSON body. Raises BadRequest with the path of the invalid field."""
    try:
        return msgspec.json.decode(body, type=type_)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `$")
        raise BadRequest(where.strip("`").lstrip(".") or "body", what) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequest("body", f"it is no JSON: {error}") from error


def check_key(key: str, max_bytes: int, field: str = "key") -> str:
    """Return the key if it is non-empty, printable and within the size limit. Raises BadRequest."""
    if not key or not key.isprintable():
        raise BadRequest(field, "a key is some printable characters")
    try:
        size = len(key.encode())
    except UnicodeEncodeError:
        raise BadRequest(field, "a key is text in UTF-8") from None
    if size > max_bytes:
        raise BadRequest(field, f"a key has at most {max_bytes} bytes", 413)
    return key


def check_value(value: bytes, max_bytes: int, field: str = "value") -> bytes:
    """Return the value if it is within the size limit. Raises BadRequest."""
    if len(value) > max_bytes:
        raise BadRequest(field, f"a value has at most {max_bytes} bytes, this one has {len(value)}", 413)
    return value


def _value(text: str | None, encoded: str | None, field: str) -> bytes:
    if (text is None) == (encoded is None):
        raise BadRequest(field, "give one of value and value_base64")
    if text is not None:
        return text.encode("utf-8", "strict")
    try:
        return base64.b64decode(encoded or "", validate=True)
    except binascii.Error as error:
        raise BadRequest(f"{field}.value_base64", str(error)) from None


def _condition(number: int | None) -> int:
    return -1 if number is None else number


def _operation(call: OperationCall, field: str, key_bytes: int, value_bytes: int) -> c.Put | c.Delete | c.Get:
    match call:
        case OperationCall(put=PutCall() as put, delete=None, get=None):
            key = check_key(put.key, key_bytes, f"{field}.put.key")
            value = check_value(_value(put.value, put.value_base64, f"{field}.put"), value_bytes, f"{field}.put.value")
            return c.Put(key, value, put.lease, _condition(put.if_revision))
        case OperationCall(put=None, delete=DeleteCall() as delete, get=None):
            return c.Delete(check_key(delete.key, key_bytes, f"{field}.delete.key"), _condition(delete.if_revision))
        case OperationCall(put=None, delete=None, get=GetCall() as get):
            return c.Get(check_key(get.key, key_bytes, f"{field}.get.key"))
    raise BadRequest(field, "give one of put, delete and get")


def txn_command(call: TxnCall, key_bytes: int, value_bytes: int) -> c.Txn:
    """Validate a transaction and convert it to a command. Raises BadRequest."""
    compares = []
    for i, one in enumerate(call.compare):
        field = f"compare[{i}]"
        key = check_key(one.key, key_bytes, f"{field}.key")
        if one.field is c.Field.VALUE:
            if one.number is not None:
                raise BadRequest(f"{field}.number", "a value is compared with value or value_base64")
            compares.append(c.Compare(key, one.field, one.test, 0, _value(one.value, one.value_base64, field)))
        elif one.number is None or one.value is not None or one.value_base64 is not None:
            raise BadRequest(f"{field}.number", f"{one.field.value} is compared with a number")
        else:
            compares.append(c.Compare(key, one.field, one.test, one.number))
    return c.Txn(
        tuple(compares),
        *(
            tuple(_operation(one, f"{name}[{i}]", key_bytes, value_bytes) for i, one in enumerate(calls))
            for name, calls in (("then", call.then), ("otherwise", call.otherwise))
        ),
    )


def entry_json(key: str, entry: c.Entry | None) -> dict[str, Any]:
    """Return a key's JSON form in responses; a missing key has no value."""
    if entry is None:
        return {"key": key, "exists": False}
    shown: dict[str, Any] = {"key": key}
    try:
        shown["value"] = entry.value.decode()
    except UnicodeDecodeError:
        shown["value_base64"] = base64.b64encode(entry.value).decode()
    return {**shown, "created": entry.created, "changed": entry.changed, "version": entry.version, "lease": entry.lease}


def value_of(shown: dict[str, Any]) -> bytes:
    """Decode the value in a response's JSON form of a key."""
    if "value_base64" in shown:
        return base64.b64decode(shown["value_base64"])
    return str(shown["value"]).encode()


def change_json(change: Change) -> dict[str, Any]:
    """Return a change's JSON form on a watch; version 0 marks a deleted key."""
    key, entry = change
    if not entry.version:
        return {"key": key, "deleted": True, "changed": entry.changed}
    return entry_json(key, entry)
