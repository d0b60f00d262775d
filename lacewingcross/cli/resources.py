"""The operators' commands that read and change resources."""

import asyncio
import sys
import time
from typing import Literal

from .. import settings
from ..core import resources as res
from ..core.reports import REPORT_KIND
from ..errors import UserError
from ..operations import Document, Operator, read_documents
from ..platform_client import StoredObject
from .connection import operator_at
from .output import Output, print_json, print_table

_KINDS = {kind.lower(): kind for kind in (*res.OPERATOR_KINDS, res.PLAN, REPORT_KIND)}


def _kind(text: str) -> str:
    kind = _KINDS.get(text.lower())
    if kind is None:
        raise UserError("bad-kind", f"{text!r}: expected one of " + ", ".join(_KINDS))
    return kind


def apply(
    *,
    file: str,
    platform: str = "",
    wait: bool = False,
    timeout: float = 30.0,
    regroup: bool = False,
) -> None:
    """Create or replace the resources in a file.

    Example: lacewingcross apply -f policy.json --wait

    Parameters
    ----------
    file : str
        JSON file with one resource, a list of them, or "items"; "-" for
        standard input.
    platform : str
        IP:PORT of the platform; by default from LACEWINGCROSS_PLATFORM.
    wait : bool
        Return only when the resources are in force on every live host.
    timeout : float
        Longest wait in seconds.
    regroup : bool
        Accept that callers change their client group. They move at once, and the
        shift cap does not limit that.
    """
    data = settings.read_json("/dev/stdin" if file == "-" else file)
    documents = read_documents(data, file)
    asyncio.run(_apply(operator_at(platform), documents, wait, timeout, regroup))


async def _apply(
    operator: Operator,
    documents: list[Document],
    wait: bool,
    timeout: float,
    regroup: bool = False,
) -> None:
    newest = 0
    for document in documents:
        applied = await operator.apply(document, regroup=regroup)
        newest = max(newest, applied.version)
        print(f"{applied.key} {applied.change} version={applied.version}")
    if wait:
        state = await operator.wait_in_force(newest, timeout)
        print(f"in force on {len(state.live)} hosts version={newest}")


def get(kind: str, *names: str, platform: str = "", output: Output = "table") -> None:
    """Show stored resources.

    Example: lacewingcross get shiftcap calendar --output json

    Parameters
    ----------
    kind : str
        SteeringPolicy, ShiftCap, BackendPool, Drain, BlockTable, Plan or Report.
    *names : str
        Show only the resources with these names.
    platform : str
        IP:PORT of the platform.
    output
        Form of the output.
    """
    asyncio.run(_get(operator_at(platform), _kind(kind), names, output))


async def _get(
    operator: Operator, kind: str, names: tuple[str, ...], output: Output
) -> None:
    items = await operator.resources(kind)
    if names:
        by_key = {item.key: item for item in items}
        wanted = [res.object_key(kind, name) for name in names]
        for key in wanted:
            if key not in by_key:
                raise UserError("not-found", f"{key}: no such resource")
        items = [by_key[key] for key in wanted]
    if output == "json":
        print_json({"items": [_as_data(item) for item in items]})
        return
    rows = [
        (item.key, item.version, item.writer() or "-", _summary(item)) for item in items
    ]
    print_table(("RESOURCE", "VERSION", "WRITTEN-BY", "SPEC"), rows)


def _as_data(item: StoredObject) -> dict[str, object]:
    kind, name = res.split_key(item.key)
    return {"kind": kind, "name": name, "version": item.version, "spec": item.spec()}


def _summary(item: StoredObject) -> str:
    """Return the spec as JSON text, shortened to 60 characters."""
    text = res.encode_value(item.spec())
    return text if len(text) <= 60 else text[:57] + "..."


def watch(*kinds: str, platform: str = "") -> None:
    """Print stored resources, then every change to them, until interrupted.

    Example: lacewingcross watch drain

    Parameters
    ----------
    *kinds : str
        Print only these kinds; by default all kinds that operators write, and plans.
    platform : str
        IP:PORT of the platform.
    """
    known_kinds = tuple(_kind(kind) for kind in kinds)
    asyncio.run(
        _watch(operator_at(platform), known_kinds or (*res.OPERATOR_KINDS, res.PLAN))
    )


async def _watch(operator: Operator, kinds: tuple[str, ...]) -> None:
    async for item in operator.watch_resources(*kinds):
        change = "deleted" if item.value is None else _summary(item)
        print(f"version={item.version} {item.key} {change}", flush=True)


def drain(
    target: Literal["server", "region", "failure_domain", "host"],
    value: str,
    *,
    service: str = "",
    platform: str = "",
    wait: bool = False,
    timeout: float = 600.0,
) -> None:
    """Drain before a planned stop: no new requests go there, running ones finish.

    Example: lacewingcross drain server booking-3 --wait

    Parameters
    ----------
    target
        Type of the drained target.
    value : str
        Id of the target.
    service : str
        Drain the target for this service only; by default for all services.
    platform : str
        IP:PORT of the platform.
    wait : bool
        Return only when the drain is in force and all leaving backend servers of the
        drained services are idle, whichever drain they leave for. There is no wait for
        the requests of a drained region or host.
    timeout : float
        Longest wait in seconds: first until the drain is in force, and again until the
        servers are idle.
    """
    spec = {target: value}
    if service:
        spec["service"] = service
    document = Document(res.DRAIN, _drain_name(target, value), spec)
    res.parse(document.kind, document.name, spec)
    asyncio.run(_drain(operator_at(platform), document, wait, timeout))


def _drain_name(target: str, value: str) -> str:
    return f"{target}-{value}"


async def _drain(
    operator: Operator, document: Document, wait: bool, timeout: float
) -> None:
    started = time.monotonic()
    await _apply(operator, [document], wait, timeout)
    if wait:
        await operator.wait_drained(document.name, timeout)
        print(f"idle after {time.monotonic() - started:.2f} s")


def undrain(
    target: Literal["server", "region", "failure_domain", "host"],
    value: str,
    *,
    platform: str = "",
) -> None:
    """End a drain; the traffic of a backend server ramps up again.

    Example: lacewingcross undrain server booking-3

    Parameters
    ----------
    target
        Type of the drained target.
    value : str
        Id of the target.
    platform : str
        IP:PORT of the platform.
    """
    asyncio.run(_delete(operator_at(platform), res.DRAIN, _drain_name(target, value)))


def delete(kind: str, name: str, *, platform: str = "") -> None:
    """Delete a resource.

    Example: lacewingcross delete drain server-booking-3

    Parameters
    ----------
    kind : str
        Kind of the resource.
    name : str
        Name of the resource.
    platform : str
        IP:PORT of the platform.
    """
    asyncio.run(_delete(operator_at(platform), _kind(kind), name))


async def _delete(operator: Operator, kind: str, name: str) -> None:
    applied = await operator.delete(kind, name)
    print(f"{applied.key} deleted version={applied.version}")


def explain(
    service: str,
    *,
    address: str = "",
    caller: str = "",
    platform: str = "",
    output: Output = "table",
) -> None:
    """Show each step that decides where a caller's requests go.

    Example: lacewingcross explain calendar --address 10.1.2.3

    Parameters
    ----------
    service : str
        Name of the service.
    address : str
        Client address.
    caller : str
        Caller id, if the caller sends one.
    platform : str
        IP:PORT of the platform.
    output
        Form of the output.
    """
    if not address and not caller:
        raise UserError("bad-arguments", "give --address or --caller")
    asyncio.run(_explain(operator_at(platform), service, address, caller, output))


async def _explain(
    operator: Operator, service: str, address: str, caller: str, output: Output
) -> None:
    explanation = await operator.explain(service, address, caller)
    if output == "json":
        print_json(explanation)
        return
    rows = [
        (key, ", ".join(val) if isinstance(val, list) else val)
        for key, val in explanation.items()
    ]
    print_table(("STEP", "RESULT"), rows)


def export(*, platform: str = "") -> None:
    """Print all resources that operators write, in a form that "apply -f" accepts.

    Example: lacewingcross export > backup.json

    Parameters
    ----------
    platform : str
        IP:PORT of the platform.
    """
    asyncio.run(_export(operator_at(platform)))


async def _export(operator: Operator) -> None:
    items = await operator.resources(*res.OPERATOR_KINDS)
    documents = [_as_data(item) for item in items]
    for document in documents:
        del document["version"]
    print_json({"items": documents})


def check_config(
    file: str, *, what: Literal["host", "platform", "backend", "resources"] = "host"
) -> None:
    """Check a settings or resource file without applying it.

    Example: lacewingcross check-config host-1.json

    Parameters
    ----------
    file : str
        JSON file.
    what
        Type of the file's content.
    """
    loaders = {
        "host": settings.load_host,
        "platform": settings.load_platform,
        "backend": settings.load_backend,
        "resources": lambda path: read_documents(settings.read_json(path), path),
    }
    loaders[what](file)
    print(f"{file}: ok", file=sys.stdout)
