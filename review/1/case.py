"""A backend server drains while the store gives no response to the machines that watch it."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import KEY, Caller, World, has_trouble, make_config, run_case  # noqa: E402

ROUTES = [{"name": "sign", "path_prefix": "/sign/", "type": "non_idempotent", "service": "desk",
           "max_attempts": 1, "timeout_ms": 1500, "target_latency_ms": 300}]  # fmt: skip
STEADY_S = 5.0
SILENT_S = 9.0
LINGER_S = 2.0
WORK_S = 0.2
SLACK_S = 0.2


async def call_on(caller: Caller, answers: list, record) -> None:
    """Send a request each 0.1 s."""
    while True:
        answer = await caller.ask("POST", "/sign/1", b"signature")
        answers.append(answer)
        record.add("answer", vm=caller.vm.name, id=answer.id, sent=record.at(answer.sent_s),
                   status=answer.status, whole=answer.whole)  # fmt: skip
        await asyncio.sleep(0.1)


async def main(folder: Path) -> bool:
    async with World(folder, {"rocha-a": 3, "mvd-a": 3, "poa-a": 3}) as world:
        record, store = world.record, world.store
        store.put("op/config", make_config(3, ROUTES, [{"name": "desk"}], [KEY]))
        for zone in ("rocha-a", "mvd-a", "poa-a"):
            server = await world.add_server("desk", zone)
            server.work_s = WORK_S
        leaving = world.servers[0]
        await world.start_vms()
        answers: list = []
        callers = [Caller(vm) for vm in world.vms for _ in range(2)]
        tasks = [asyncio.create_task(call_on(caller, answers, record)) for caller in callers]
        await asyncio.sleep(STEADY_S)
        # The replacement starts first, as in a release.
        replacement = await world.add_server("desk", leaving.zone)
        replacement.work_s = WORK_S
        record.add("replacement_registered")
        await asyncio.sleep(0.4)
        turned_away = sorted(vm for vm, count in store.watching.items() if count)
        if has_trouble():
            if len(turned_away) != 3:
                raise RuntimeError(f"{turned_away} watch the store")
            store.silent.update(turned_away)
            record.add("store_silent", machines=turned_away)
        await asyncio.sleep(0.1)
        acked_s = leaving.register("draining")
        record.add("draining_acknowledged", server=leaving.name)
        await asyncio.sleep(world.bounds["drain_ms"] / 1000 + LINGER_S)
        running = leaving.list_running()
        leaving.stop()
        record.add("server_ended", server=leaving.name)
        await asyncio.sleep(max(0.0, acked_s + SILENT_S - time.monotonic()))
        store.silent.clear()
        for task in tasks:
            task.cancel()
        by_id = {answer.id: answer for answer in answers}
        limit_s = acked_s + world.bounds["drain_ms"] / 1000 + SLACK_S
        late = [
            (run_id, at_s)
            for run_id, at_s, _ in leaving.runs
            if at_s > limit_s and run_id in by_id and by_id[run_id].vm.name not in turned_away
        ]
        for run_id, at_s in late:
            record.add("late", id=run_id, vm=by_id[run_id].vm.name,
                       after_ack_s=round(at_s - acked_s, 3))  # fmt: skip
        served = sum(answer.status == 200 for answer in answers)
        lost = sorted(each for each in running if each in by_id and by_id[each].status != 200)
        record.add("result", requests=len(answers), served=served, late=len(late),
                   cut_by_its_end=lost)  # fmt: skip
        print(record.lines[-1])
        if served < len(answers) * 0.5:
            raise RuntimeError("the deployment serves too little")
        return bool(late)


if __name__ == "__main__":
    run_case(main, str(Path(__file__).parent))
