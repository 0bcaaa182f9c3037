import { App, type Response } from "@tinyhttp/app";
import type { RequestListener } from "node:http";
import type { DependencyContainer } from "tsyringe";
import { createLogger } from "../core/create_logger.ts";
import { parse } from "../core/parse.ts";
import { setAnnouncement } from "../membership/set_announcement.ts";
import { Announcement } from "../membership/announcement.ts";
import { formatPrometheus } from "../metrics/format_prometheus.ts";
import { takeSnapshot } from "../metrics/take_snapshot.ts";
import { updateServer } from "../relay/update_server.ts";
import { listMembers } from "./list_members.ts";
import { readJson } from "./read_json.ts";
import { describeDaemon } from "./describe_daemon.ts";
import { addRulesRoutes } from "./add_rules_routes.ts";
import { ContainerToken } from "./container_token.ts";

const RULES_WAIT_MS = 10_000;

/** Routes under `/-/` of the local listener. */
export function localApp(
  { parts, leave }: { parts: DependencyContainer; leave: () => void },
): RequestListener {
  const app = new App();
  const log = createLogger("daemon");
  const startedAt = parts.resolve(ContainerToken.clock)();
  app.put("/-/announce", async (request, response) => {
    const body = parse(Announcement, await readJson(request));
    if (!body.ok) {
      log("announcement-rejected", { message: body.issues[0]?.message });
      return response.status(400).json(body);
    }
    if (mayServe(parts, startedAt)) applyAnnouncement(parts, body.value);
    response.json({ ok: true });
  });
  app.get("/-/status", (_request, response) => {
    response.json(describeDaemon(parts));
  });
  app.get("/-/members", (_request, response) => {
    response.json(listMembers(parts.resolve(ContainerToken.directory)));
  });
  app.get("/-/metrics", (request, response) => {
    sendMetrics(parts, response, request.headers.accept ?? "");
  });
  addRulesRoutes(app, parts);
  app.post("/-/drain", (_request, response) => {
    leave();
    response.json({
      ok: true,
      phase: parts.resolve(ContainerToken.drain).phase,
    });
  });
  // tinyhttp adds its own fields to the plain request and response.
  return app.attach as unknown as RequestListener;
}

function applyAnnouncement(
  parts: DependencyContainer,
  announcement: Announcement,
): void {
  const directory = parts.resolve(ContainerToken.directory);
  const before = directory.announcement?.state;
  setAnnouncement(
    directory,
    announcement,
    parts.resolve(ContainerToken.clock)(),
  );
  updateServer(parts.resolve(ContainerToken.relay), announcement);
  const leavesNow = announcement.state === "leaving" && before !== "leaving";
  // The other daemons should stop sending at once, not at the next exchange.
  if (leavesNow) parts.resolve(ContainerToken.gossiper).pushOwnEntry();
}

/**
 * Without rules a new daemon would reject the nested calls of its server; where
 * there are none to be had, it serves after a while all the same.
 */
function mayServe(parts: DependencyContainer, startedAt: number): boolean {
  const hasRules = parts.resolve(ContainerToken.rules).record.sequence > 0;
  const upMs = parts.resolve(ContainerToken.clock)() - startedAt;
  return hasRules || upMs >= RULES_WAIT_MS;
}

function sendMetrics(
  parts: DependencyContainer,
  response: Response,
  accept: string,
): void {
  const snapshot = takeSnapshot(parts.resolve(ContainerToken.metrics));
  if (accept.includes("text/plain")) {
    response.type("text/plain").send(formatPrometheus(snapshot));
  } else response.json(snapshot);
}
