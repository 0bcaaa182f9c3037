type Ticket = { id: string };

/** Returns the part of a decision's result that a replay compares. */
export function outcomeOf(call: string, result: unknown): unknown {
  return (OUTCOMES[call] ?? nothing)(result as never);
}

const nothing = () => null;
const itself = (result: unknown) => result;
const tickets = (
  { start, drop }: { start: Ticket[]; drop: Ticket[] },
) => [start.map(({ id }) => id), drop.map(({ id }) => id)];

const OUTCOMES: Record<string, (result: never) => unknown> = {
  offer: itself,
  finish: tickets,
  tick: tickets,
  withdraw: itself,
  choose: (
    { candidate, ...choice }: { candidate?: { address: string } },
  ) => ({ ...choice, daemon: candidate?.address ?? null }),
  admitToken: ({ execution: _, ...admission }: { execution?: unknown }) =>
    admission,
  claimToken: itself,
};
