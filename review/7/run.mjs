// A server spoils a few of its answers. The daemon beside it must go on
// answering its clients.
import { isReady, sendTo } from "../support-2/client.mjs";
import { pause, startRecord, until } from "../support-2/record.mjs";
import { BOUNDS, configuration, startSite } from "../support-2/site.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const MS_PER_S = 1_000;
const TIMEOUT_S = 2;
// One server spoils one in so many of its answers (0.02), for this long.
const SPOILED_EVERY = 50;
const SPOILED_MS = 5_000;
const CALM_MS = 6_000;
const AFTER_MS = 12_000;
// Bytes of the blank part of a spoiled answer.
const BLANK_BYTES = 60_000;
const SEND_EVERY_MS = 25;
// An answer is late this long after the route's timeout.
const LATE_MS = 500;
// Fewer requests than this that reach their timeout show nothing.
const MIN_UNANSWERED = 8;
const SERVICES = ["inventory", "payments"];
const VMS = ["suva", "nadi"].flatMap((zone) =>
  SERVICES.map((service) => ({ zone, service, workMs: 30 }))
);

const { record, end } = startRecord("review/7/record.txt");
let spoiling = false;
let spoiled = 0;
let given = 0;
/** Answers with bytes that are no response: a head of blanks without an end. */
const respond = (_request, response, { id, common }) => {
  if (!spoiling || id !== "i-1" || ++given % SPOILED_EVERY !== 0) return false;
  spoiled++;
  record("spoiled", { id: common["Request-Id"], server: id });
  response.socket.end(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${common["Request-Id"]}\r\n` +
      `Response-Signature: 1.1.1\r\nServer-Load: 1${
        " ".repeat(BLANK_BYTES)
      }0\r\nContent-Length: 2\r\n\r\nok`,
  );
  return true;
};
let site = null;
let status = 2;
try {
  site = await startSite({ vms: VMS, record, respond });
  const { vms } = site;
  const rules = SERVICES.map((name) => ({
    name,
    service: name,
    timeoutS: TIMEOUT_S,
  }));
  site.configure(configuration(1, rules, SERVICES));
  for (const vm of vms) await until("ready", () => isReady(vm));
  for (const vm of vms) {
    for (const service of SERVICES) {
      await until("served", async () => {
        const answer = await sendTo(vm, `/${service}/`, { record });
        return answer.status === 200;
      });
    }
  }
  await pause(BOUNDS.contactS * MS_PER_S);

  const answers = [];
  let sending = true;
  const clients = vms.map(async (vm) => {
    const open = [];
    for (let count = 0; sending; count++) {
      const path = `/${SERVICES[count % SERVICES.length]}/`;
      open.push(
        sendTo(vm, path, { record, deadlineMs: 10_000 }).then((answer) => {
          answers.push({ ...answer, vm });
        }),
      );
      await pause(SEND_EVERY_MS);
    }
    await Promise.all(open);
  });
  await pause(CALM_MS);
  spoiling = TROUBLE;
  await pause(SPOILED_MS);
  spoiling = false;
  await pause(AFTER_MS);
  sending = false;
  await Promise.all(clients);

  // Requests without an answer at the route's timeout, and those of them that
  // had none half a second later.
  let broken = false;
  for (const vm of vms) {
    const own = answers.filter((answer) => answer.vm === vm);
    const timedOut = own.filter(({ ms }) => ms > TIMEOUT_S * MS_PER_S);
    const late = timedOut.filter(({ ms }) =>
      ms > TIMEOUT_S * MS_PER_S + LATE_MS
    );
    const longest = Math.max(...own.map(({ ms }) => ms));
    const counts = {
      requests: own.length,
      timedOut: timedOut.length,
      late: late.length,
      longestMs: longest,
    };
    record("result", { vm: vm.name, ...counts });
    console.log(vm.name, counts);
    if (
      timedOut.length >= MIN_UNANSWERED && late.length > timedOut.length / 2
    ) {
      broken = true;
    }
  }
  console.log(`${spoiled} answers spoiled`);
  status = TROUBLE && spoiled === 0 ? 2 : broken ? 1 : 0;
} catch (error) {
  record("failed", { error: String(error) });
  console.error(error);
} finally {
  await site?.stop();
  await end();
}
process.exit(status);
