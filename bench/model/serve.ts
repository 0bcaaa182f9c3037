import { finish } from "../../src/admission/finish.ts";
import { offer } from "../../src/admission/offer.ts";
import type { Ticket } from "../../src/admission/ticket.ts";
import type { Outcome } from "../../src/outcomes/outcome.ts";
import { schedule } from "./schedule.ts";
import type { Server } from "./server.ts";
import { settle } from "./settle.ts";

/** A request to a modelled server. */
type Call = {
  priority: number;
  department: string;
  deadlineAt: number;
  /** Called once, with whether the request was served. */
  done: (served: boolean) => void;
};

const SHED_MS = 1;
const ANSWERED: Outcome = { kind: "answered", status: 200 };
const SHED: Outcome = { kind: "not-run", reason: "server-shed" };

/** Passes a request through admission control and serves it. */
export function serve(server: Server, call: Call): void {
  if (server.backlog !== null) {
    server.backlog.waiting.push(() => runUnlimited(server, call));
    drain(server);
    return;
  }
  const ticket: Ticket = {
    id: String(server.next++),
    priority: call.priority,
    department: call.department,
    deadlineAt: call.deadlineAt,
    start: () => {},
    drop: () => {},
  };
  const admitted = (yes: boolean) =>
    yes ? run(server, ticket, call) : call.done(false);
  const decision = offer(server.admission, ticket, server.calendar.now);
  if (decision.kind === "queued") server.pending.set(ticket, admitted);
  else admitted(decision.kind === "run");
}

function run(server: Server, ticket: Ticket, call: Call): void {
  const { admission, calendar, random } = server;
  const mean = server.serviceMs(admission.inFlight, calendar.now);
  const shed = mean === 0;
  const serviceMs = shed ? SHED_MS : mean * (0.5 + random());
  const outcome = shed ? SHED : ANSWERED;
  schedule(calendar, serviceMs, () => {
    settle(
      server,
      finish(
        admission,
        { ticket, serviceMs, nestedMs: 0, outcome },
        calendar.now,
      ),
    );
    call.done(!shed);
  });
}

function runUnlimited(server: Server, call: Call): void {
  const mean = server.serviceMs(0, server.calendar.now);
  schedule(server.calendar, mean * (0.5 + server.random()), () => {
    server.backlog!.free += 1;
    drain(server);
    call.done(true);
  });
}

function drain(server: Server): void {
  const backlog = server.backlog!;
  while (backlog.free > 0 && backlog.head < backlog.waiting.length) {
    backlog.free -= 1;
    const next = backlog.waiting[backlog.head]!;
    backlog.head += 1;
    next();
  }
}
