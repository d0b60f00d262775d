"""The naive version of an entry host, as a baseline.

It has no admission and no plan. Each host polls the load of its region's backend
servers and sends a request to the less loaded of two random servers, by the last
report. It forwards nothing to other hosts and retries nothing.
"""

import asyncio
import json
import random
import sys

from lacewingcross import headers as hd
from lacewingcross.checks import split_address
from lacewingcross.clock import SystemClock
from lacewingcross.http1_client import HttpClient, HttpError
from lacewingcross.http1_exchange import Exchange
from lacewingcross.http1_json import read_body, send_json
from lacewingcross.http1_server import HttpServer

POLL_INTERVAL_S = 0.25
MAX_BODY_BYTES = 1_000_000


class NaiveHost:
    """One naive entry host."""

    def __init__(self, cfg: dict) -> None:
        self._cfg = cfg
        self._rng = random.Random(cfg["host_id"])
        self._clients = {addr: HttpClient(addr) for addr in cfg["servers"]}
        self._busy = dict.fromkeys(cfg["servers"], 0)
        self._server = HttpServer(self._handle, SystemClock().monotonic)

    async def run(self) -> None:
        host, port = split_address(self._cfg["entry"])
        await self._server.start(host, port)
        while True:
            for address, client in self._clients.items():
                try:
                    answer = await client.request("GET", "/-/load", timeout_s=0.5)
                    self._busy[address] = json.loads(answer.body)["busy"]
                except (HttpError, ValueError):
                    pass
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.head.target.startswith("/v1/lookup"):
            entry = self._cfg["entry"]
            hosts = [{"address": entry}]
            await send_json(exchange, 200, {"hosts": hosts, "ttl_s": 60.0})
            return
        pair = self._rng.choices(list(self._clients), k=2)
        address = min(pair, key=lambda addr: self._busy[addr])
        body = await read_body(exchange, MAX_BODY_BYTES)
        forwarded_names = (hd.REQUEST_ID, hd.CALLER_ID)
        fields = [item for item in exchange.head.headers if item[0] in forwarded_names]
        try:
            answer = await self._clients[address].request(
                exchange.head.method, exchange.head.target, fields, body, 30.0
            )
        except HttpError:
            await exchange.respond(502, [(hd.OUTCOME, b"unknown")], b"")
            return
        fields = [(hd.OUTCOME, b"answered")]
        await exchange.respond(answer.status, fields, answer.body)


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as file:
        asyncio.run(NaiveHost(json.load(file)).run())
