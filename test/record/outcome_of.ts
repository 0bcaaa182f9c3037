type Ticket = { id: string };

/** Returns the part of a decision's result that a replay compares. */
export function outcomeOf(call: string, result: unknown): unknown {
  return (OUTCOMES[call] ?? toNull)(result as never);
}

const toNull = () => null;
const identity = (result: unknown) => result;
const ticketIds = (
  { start, drop }: { start: Ticket[]; drop: Ticket[] },
) => [start.map(({ id }) => id), drop.map(({ id }) => id)];

const OUTCOMES: Record<string, (result: never) => unknown> = {
  offer: identity,
  finish: ticketIds,
  tick: ticketIds,
  withdraw: identity,
  choose: (
    { candidate, ...choice }: { candidate?: { address: string } },
  ) => ({ ...choice, daemon: candidate?.address ?? null }),
  admitToken: ({ execution: _, ...admission }: { execution?: unknown }) =>
    admission,
  claimToken: identity,
};
