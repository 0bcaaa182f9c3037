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

/** Time after the start in which announcements are ignored without rules. */
const RULES_WAIT_MS = 10_000;

/** Returns the handler of paths under `/-/` on the local listener. */
export function localApp(
  { parts: container, leave }: {
    parts: DependencyContainer;
    leave: () => void;
  },
): RequestListener {
  const app = new App();
  const log = createLogger("daemon");
  const startedAt = container.resolve(ContainerToken.clock)();
  app.put("/-/announce", async (request, response) => {
    const body = parse(Announcement, await readJson(request));
    if (!body.ok) {
      log("announcement-rejected", { message: body.issues[0]?.message });
      return response.status(400).json(body);
    }
    if (mayServe(container, startedAt)) announceServer(container, body.value);
    response.json({ ok: true });
  });
  app.get("/-/status", (_request, response) => {
    response.json(describeDaemon(container));
  });
  app.get("/-/members", (_request, response) => {
    response.json(listMembers(container.resolve(ContainerToken.directory)));
  });
  app.get("/-/metrics", (request, response) => {
    sendMetrics(container, response, request.headers.accept ?? "");
  });
  addRulesRoutes(app, container);
  app.post("/-/drain", (_request, response) => {
    leave();
    response.json({
      ok: true,
      phase: container.resolve(ContainerToken.drain).phase,
    });
  });
  // tinyhttp adds its own fields to the plain request and response.
  return app.attach as unknown as RequestListener;
}

function announceServer(
  container: DependencyContainer,
  announcement: Announcement,
): void {
  const directory = container.resolve(ContainerToken.directory);
  const previousState = directory.announcement?.state;
  setAnnouncement(
    directory,
    announcement,
    container.resolve(ContainerToken.clock)(),
  );
  updateServer(container.resolve(ContainerToken.relay), announcement);
  const startsLeaving = announcement.state === "leaving" &&
    previousState !== "leaving";
  // Pushed, so that other daemons need not wait for the next gossip exchange
  // before they stop sending.
  if (startsLeaving) container.resolve(ContainerToken.gossiper).pushOwnEntry();
}

/**
 * Returns whether the daemon may accept announcements. Without rules it would
 * reject the nested calls of its server, so it waits for them. If no rules
 * arrive within `RULES_WAIT_MS`, it serves without rules.
 */
function mayServe(container: DependencyContainer, startedAt: number): boolean {
  const hasRules = container.resolve(ContainerToken.rules).record.sequence > 0;
  const uptimeMs = container.resolve(ContainerToken.clock)() - startedAt;
  return hasRules || uptimeMs >= RULES_WAIT_MS;
}

function sendMetrics(
  container: DependencyContainer,
  response: Response,
  accept: string,
): void {
  const snapshot = takeSnapshot(container.resolve(ContainerToken.metrics));
  if (accept.includes("text/plain")) {
    response.type("text/plain").send(formatPrometheus(snapshot));
  } else response.json(snapshot);
}
