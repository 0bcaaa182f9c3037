import type { RequestListener } from "node:http";
import type { DependencyContainer } from "tsyringe";
import { createLogger } from "../core/create_logger.ts";
import { createControlRouter } from "../membership/create_control_router.ts";
import { handleIngress } from "../relay/handle_ingress.ts";
import { handleOutbound } from "../relay/handle_outbound.ts";
import { handlePeer } from "../relay/handle_peer.ts";
import { createRulesRouter } from "../rules/create_rules_router.ts";
import { createControlHandler } from "../security/create_control_handler.ts";
import { ingressApp } from "./ingress_app.ts";
import { listen } from "./listen.ts";
import type { Listener } from "./listener.ts";
import { localApp } from "./local_app.ts";
import { peerApp } from "./peer_app.ts";
import { rulesVersionOf } from "./rules_version_of.ts";
import { ContainerToken } from "./container_token.ts";

const KIB = 1024;
/**
 * Room for the context headers, which other daemons send in addition to the
 * headers of the caller.
 */
const CONTEXT_BYTES = 4 * KIB;
// Prefixes of the paths that the daemon handles itself.
const RESERVED = "/-/";
const CONTROL = "/-/rpc/";
const TOKENS = "/-/tokens/";

type Listeners = { peer: Listener; ingress: Listener; local: Listener };

/** Opens the three listeners of a daemon. */
export async function openListeners(
  container: DependencyContainer,
  { leave }: { leave: () => void },
): Promise<Listeners> {
  const { daemon, limits } = container.resolve(ContainerToken.settings);
  const relay = container.resolve(ContainerToken.relay);
  const control = controlHandler(container);
  const ingress = ingressApp({ relay });
  const peer = peerApp({ relay });
  const local = localApp({ parts: container, leave });
  const maxHeaderSize = limits.headerKib * KIB;
  const host = daemon.address;
  const opened = await Promise.all([
    listen((request, response) => {
      if (isUnder(CONTROL, request.url)) return void control(request, response);
      if (isUnder(RESERVED, request.url)) return peer(request, response);
      handlePeer(relay, request, response);
    }, {
      host,
      port: daemon.peerPort,
      maxHeaderSize: maxHeaderSize + CONTEXT_BYTES,
    }),
    listen((request, response) => {
      if (isUnder(RESERVED, request.url)) return ingress(request, response);
      handleIngress(relay, request, response);
    }, { host, port: daemon.ingressPort, maxHeaderSize }),
    listen((request, response) => {
      if (isUnder(TOKENS, request.url)) return ingress(request, response);
      if (isUnder(RESERVED, request.url)) return local(request, response);
      handleOutbound(relay, request, response);
    }, { host: daemon.localAddress, port: daemon.localPort, maxHeaderSize }),
  ]);
  const [peerListener, ingressListener, localListener] = opened;
  return {
    peer: peerListener,
    ingress: ingressListener,
    local: localListener,
  };
}

function isUnder(prefix: string, url: string | undefined): boolean {
  return url?.startsWith(prefix) === true;
}

function controlHandler(
  container: DependencyContainer,
): (...args: Parameters<RequestListener>) => Promise<void> {
  const rules = container.resolve(ContainerToken.rules);
  const updater = container.resolve(ContainerToken.rulesUpdater);
  const client = container.resolve(ContainerToken.controlClient);
  const router = createControlRouter({
    directory: container.resolve(ContainerToken.directory),
    now: container.resolve(ContainerToken.clock),
    rules: () => rulesVersionOf(rules),
    onPeerRules: (peer) =>
      updater.observeHead(peer.address, peer.rules.sequence),
    probe: (address) => client.probe(address),
  }, { rules: createRulesRouter({ rules, receive: updater.receive }) });
  const log = createLogger("security");
  return createControlHandler({
    verifier: container.resolve(ContainerToken.verifier),
    router,
    log,
  });
}
