import { setTimeout as delay } from "node:timers/promises";
import type { DependencyContainer } from "tsyringe";
import { createLogger } from "../core/create_logger.ts";
import { parse } from "../core/parse.ts";
import type { SectionOutcome } from "../rules/section_outcome.ts";
import { submitSection } from "../rules/submit_section.ts";
import { SubmitRequest } from "../rules/submit_request.ts";
import { departmentKeys } from "./department_keys.ts";
import { ContainerToken } from "./container_token.ts";

const RETRY_PAUSE_MS = 100;
// Limits the wait for a poll, so that the operator's request does not time out
// before the outcome is returned.
const MAX_POLL_MS = 2_000;

/** Writes a signed section to the store and applies it at this daemon. */
export async function submitRules(
  container: DependencyContainer,
  body: unknown,
): Promise<SectionOutcome> {
  const request = parse(SubmitRequest, body);
  if (!request.ok) return { kind: "rejected", issues: request.issues };
  const { stores } = container.resolve(ContainerToken.platform);
  if (stores === null) {
    const message = "The settings of this daemon name no platform";
    return { kind: "not-accepted", message };
  }
  const random = container.resolve(ContainerToken.random);
  const { changeId } = request.value;
  const outcome = await submitSection(stores, {
    ...request.value,
    departmentKeys: departmentKeys(container.resolve(ContainerToken.settings)),
    // Randomized: two concurrent operators would otherwise conflict every time.
    waitBeforeRetry: (attempt) => delay(random() * attempt * RETRY_PAUSE_MS),
  });
  createLogger("rules")("submitted", { change: changeId, kind: outcome.kind });
  if (outcome.kind === "accepted" || outcome.kind === "already-accepted") {
    const poll = container.resolve(ContainerToken.rulesUpdater).poll();
    await Promise.race([poll, delay(MAX_POLL_MS, undefined, { ref: false })]);
  }
  return outcome;
}
