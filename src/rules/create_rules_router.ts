import { z } from "zod";
import { controlTrpc } from "../membership/control_trpc.ts";
import { changesSince } from "./changes_since.ts";
import { HeadNotice } from "./head_notice.ts";
import { Name } from "./name.ts";
import { reportRules } from "./report_rules.ts";
import type { Rules } from "./rules.ts";
import { SectionVersion } from "./section_version.ts";
import { takeSnapshot } from "./take_snapshot.ts";

const MAX_KNOWN_SECTIONS = 5_000;

type Parts = {
  rules: Rules;
  /** Handles a head that a peer pushed. */
  receive(address: string, notice: HeadNotice): void;
};

/** Returns the tRPC router of control calls about rules. */
export function createRulesRouter({ rules, receive }: Parts) {
  const { procedure, router } = controlTrpc;
  return router({
    pull: procedure
      .input(z.strictObject({ after: z.number().int().min(0) }))
      .mutation(({ input }) => changesSince(rules, input.after)),
    snapshot: procedure
      .input(
        z.strictObject({
          known: z.array(SectionVersion).max(MAX_KNOWN_SECTIONS),
        }),
      )
      .mutation(({ input }) => takeSnapshot(rules, input.known) ?? null),
    push: procedure.input(HeadNotice).mutation(({ input, ctx }) => {
      receive(ctx.sender, input);
      return {};
    }),
    report: procedure
      .input(z.strictObject({ department: Name.optional() }))
      .mutation(({ input }) => reportRules(rules, input.department)),
  });
}
