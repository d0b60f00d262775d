"""The command that writes the settings and resources of an example deployment."""

import json
from pathlib import Path

from ..deployments import DEPLOYMENTS, Layout, Ports, lay_out
from ..errors import UserError
from ..settings import as_data


def example(name: str, *, to: str, hosts: int = 0, divide_workers: int = 1) -> None:
    """Write the settings and resources of an example deployment.

    Example: lacewingcross example grupo-visitas --to example --divide-workers 5

    Parameters
    ----------
    name : str
        grupo-visitas or midlands-paddlecraft.
    to : str
        Folder to write to.
    hosts : int
        Number of entry hosts; 0 for the number that the deployment has.
    divide_workers : int
        Divides the number of backend servers of each service, to fit a small machine;
        at least one server for each region remains.
    """
    deployment = DEPLOYMENTS.get(name)
    if deployment is None:
        names = ", ".join(DEPLOYMENTS)
        raise UserError("not-found", f"{name!r}: expected one of {names}")
    layout = lay_out(deployment, Ports(), hosts=hosts, worker_divisor=divide_workers)
    count = write_layout(layout, Path(to))
    print(f"{to}: {count} files written")


def write_layout(layout: Layout, folder: Path) -> int:
    """Write the settings and resource files of a layout; return their number."""
    files: dict[str, object] = {
        "platform.json": as_data(layout.platform),
        "resources.json": {"items": layout.resources},
    }
    for cfg in layout.hosts:
        files[f"hosts/{cfg.host_id}.json"] = as_data(cfg)
    for cfg in layout.backends:
        files[f"backends/{cfg.server_id}.json"] = as_data(cfg)
    for name, data in files.items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")
    return len(files)
