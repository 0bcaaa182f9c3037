import { recordLevel } from "../../src/shedding/record_level.ts";
import { decideShedding } from "../../src/shedding/decide_shedding.ts";
import type { Chain } from "./chain.ts";
import { schedule } from "./schedule.ts";
import { serve } from "./serve.ts";

/** One call to a hop with everything below it. */
type Call = {
  hop: number;
  request: { priority: number; deadlineAt: number };
  done: (complete: boolean) => void;
};

/** Calls a hop, with attempts as the policy allows. */
export function visit(chain: Chain, call: Call): void {
  const { policy, servers } = chain;
  const { calendar } = servers[call.hop]!;
  let left = policy.attempts;
  let open = true;
  const attempt = () => {
    if (!open || left === 0) return;
    left -= 1;
    let current = true;
    const ended = (complete: boolean) => {
      if (complete && open) {
        open = false;
        call.done(true);
      } else if (!complete && current && open) {
        current = false;
        if (left > 0) attempt();
        else {
          open = false;
          call.done(false);
        }
      }
    };
    if (policy.attemptMs < Infinity) {
      schedule(calendar, policy.attemptMs, () => ended(false));
    }
    attemptOnce(chain, { ...call, done: ended });
  };
  attempt();
}

function attemptOnce(chain: Chain, call: Call): void {
  const { policy, servers, shedding } = chain;
  const server = servers[call.hop]!;
  const { calendar, random, admission } = server;
  const priority = policy.priority(call.request, random);
  const service = String(call.hop);
  const query = { service, daemons: [service], priority };
  if (
    policy.atSource &&
    decideShedding(shedding, query, calendar.now).kind === "shed"
  ) {
    call.done(false);
    return;
  }
  serve(server, {
    priority,
    department: "department",
    deadlineAt: policy.unlimited ? Infinity : call.request.deadlineAt,
    done: (served) => {
      const { level } = admission;
      recordLevel(shedding, { service, daemon: service, level }, calendar.now);
      if (!served || call.hop + 1 === servers.length) call.done(served);
      else descend(chain, call);
    },
  });
}

/** Calls the next hop; one failing call makes the whole fail. */
function descend(chain: Chain, call: Call): void {
  let left = chain.fanOut;
  let complete = true;
  for (let index = 0; index < chain.fanOut; index++) {
    visit(chain, {
      ...call,
      hop: call.hop + 1,
      done: (good) => {
        complete &&= good;
        left -= 1;
        if (left === 0) call.done(complete);
      },
    });
  }
}
