"""The operators' commands, run as subprocesses against real processes."""

import asyncio
import json
import os
import sys

from .processes import Processes, small_layout, until


async def _run(procs, *args, stdin=None):
    """Run one command; return its exit status, standard output and standard error."""
    proc = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lacewingcross",
        *args,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "LACEWINGCROSS_PLATFORM": procs.layout.platform.listen},
    )
    out, err = await proc.communicate(stdin)
    return proc.returncode, out.decode(), err.decode()


async def _limit_is(procs, pool, limit):
    """Return whether the reported load of a pool has this limit."""
    _, out, _ = await _run(procs, "status", "-o", "json")
    load = json.loads(out)["loads"].get(pool)
    return load is not None and load["limit"] == limit


async def _commands(folder):
    async with Processes(small_layout()) as procs:
        cap = folder / "cap.json"
        spec = {"fraction": 0.2, "window_s": 9.0}
        cap.write_text(
            json.dumps({"kind": "ShiftCap", "name": "booking", "spec": spec})
        )
        status, out, _ = await _run(procs, "apply", "-f", str(cap), "--wait")
        assert status == 0
        assert "ShiftCap/booking updated" in out
        assert "in force on 3 hosts" in out

        status, out, _ = await _run(procs, "get", "shiftcap", "booking", "-o", "json")
        (item,) = json.loads(out)["items"]
        assert item["spec"] == spec

        outdated = {**item, "version": item["version"] - 1}
        status, _, err = await _run(
            procs, "apply", "-f", "-", stdin=json.dumps(outdated).encode()
        )
        assert status == 1
        assert "conflict" in err

        _, out, _ = await _run(procs, "get", "steeringpolicy", "booking", "-o", "json")
        (policy,) = json.loads(out)["items"]
        policy["spec"]["groups"][0]["blocks"] = ["10.9.0.0/16"]
        regrouped = json.dumps(policy).encode()
        status, _, err = await _run(procs, "apply", "-f", "-", stdin=regrouped)
        assert (status, "outside the shift cap" in err) == (1, True)
        status, out, _ = await _run(
            procs, "apply", "-f", "-", "--regroup", stdin=regrouped
        )
        assert (status, "updated" in out) == (0, True)

        status, out, _ = await _run(procs, "export")
        exported = out.encode()
        assert status == 0
        status, out, _ = await _run(procs, "apply", "-f", "-", stdin=exported)
        assert status == 0
        assert out.count("unchanged") == 3

        status, out, _ = await _run(procs, "drain", "server", "booking-1", "--wait")
        assert status == 0
        assert "idle after" in out
        status, out, _ = await _run(procs, "status")
        assert "Drain/server-booking-1" in out
        assert "idle" in out
        status, out, _ = await _run(procs, "status", "-o", "json")
        rows = {row["resource"]: row for row in json.loads(out)["resources"]}
        assert rows["ShiftCap/booking"]["in_force"] == "3/3"
        # Loads are reported every five seconds; the commands so far may take less.
        await until(lambda: _limit_is(procs, "booking/south", 3.0))
        status, out, _ = await _run(procs, "undrain", "server", "booking-1")
        assert status == 0
        status, _, err = await _run(procs, "undrain", "server", "booking-1")
        assert (status, "not-found" in err) == (1, True)

        status, out, _ = await _run(
            procs, "explain", "booking", "--address", "10.2.0.9", "-o", "json"
        )
        explained = json.loads(out)
        assert (explained["group"], explained["region"]) == ("south", "south")
        assert explained["entry_hosts"][0].endswith("(south)")
        for args in (
            ("explain", "nobody", "--address", "10.2.0.9"),
            ("explain", "booking"),
            ("get", "nonsense"),
            ("delete", "drain", "nothing"),
            ("apply", "-f", str(folder / "missing.json")),
        ):
            status, _, err = await _run(procs, *args)
            assert status == 1, args
            assert err.startswith("error: "), args

        watcher = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lacewingcross",
            "watch",
            "drain",
            "--platform",
            procs.layout.platform.listen,
            stdout=asyncio.subprocess.PIPE,
        )
        # The watch prints the drain either as an existing object or as a change.
        await _run(procs, "drain", "server", "booking-2")
        async with asyncio.timeout(20):
            line = (await watcher.stdout.readline()).decode()
        watcher.kill()
        await watcher.wait()
        assert "Drain/server-booking-2" in line

        await procs.faults(outage=True)
        status, _, err = await _run(procs, "status")
        assert (status, "unavailable" in err) == (3, True)
        await procs.faults(outage=False)

        host = procs.layout.hosts[0]
        procs.kill("host-2")

        async def reason_names_host():
            _, out, _ = await _run(procs, "drain", "server", "booking-3")
            _, out, _ = await _run(procs, "status", "-o", "json")
            rows = {row["resource"]: row for row in json.loads(out)["resources"]}
            return "host-2" in rows["Drain/server-booking-3"]["why_not"]

        await until(reason_names_host)
        return host.host_id


def test_commands_do_what_their_pages_say(tmp_path):
    assert asyncio.run(_commands(tmp_path)) == "host-1"


async def _usage():
    proc = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lacewingcross",
        "apply",
        "--nonsense",
        stderr=asyncio.subprocess.DEVNULL,
    )
    return await proc.wait()


def test_wrong_usage_has_a_status_of_its_own():
    assert asyncio.run(_usage()) == 2
