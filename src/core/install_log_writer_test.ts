import test from "ava";
import createDebug from "debug";
import process from "node:process";
import { createLogger } from "./create_logger.ts";
import { installLogWriter } from "./install_log_writer.ts";

// The timer never fires during a test, so that only the tested trigger flushes.
const NEVER_MS = 1_000_000;

function captureLog() {
  const written: string[] = [];
  const writer = installLogWriter({
    flushMs: NEVER_MS,
    write: (text) => written.push(text),
  });
  createDebug.enable("nutmegmoor:test");
  const log = createLogger("test");
  return { written, writer, log };
}

test.serial("no line is lost or reordered when the buffer is flushed", (t) => {
  const { written, writer, log } = captureLog();
  log("first", { peer: "127.0.0.1:1", text: "a b" });
  log("second", { percent: "%s" });
  t.deepEqual(written, []);
  writer.flush();
  t.is(written.length, 1);
  const lines = written[0]!.trimEnd().split("\n");
  t.regex(
    lines[0]!,
    /^\d{4}-\S+Z nutmegmoor:test event=first peer=127.0.0.1:1 text="a b"/,
  );
  t.regex(lines[1]!, /event=second percent=%s/);
  writer.uninstall();
});

test.serial("the buffer stays bounded without a timer", (t) => {
  const { written, writer, log } = captureLog();
  for (let index = 0; index < 100; index++) {
    log("fill", { text: "x".repeat(1024) });
  }
  t.is(written.length, 1);
  // 64 KiB plus at most the line that exceeded it.
  t.true(written[0]!.length < 64 * 1024 + 1200);
  writer.uninstall();
  t.is(written.join("").trimEnd().split("\n").length, 100);
});

test.serial("lines before an exit are written", (t) => {
  const { written, writer, log } = captureLog();
  log("last", {});
  process.listeners("exit").at(-1)?.call(process, 0);
  t.is(written.length, 1);
  writer.uninstall();
});

test.serial("fields that hold secrets or bodies are never written", (t) => {
  const { written, writer, log } = captureLog();
  log("call", {
    installationKey: "hunter2",
    token: "hunter2",
    body: "hunter2",
  });
  log("call", { text: "a\u001b[2Jb\nevent=forged" });
  writer.uninstall();
  t.false(written.join("").includes("hunter2"));
  t.is(written.join("").trimEnd().split("\n").length, 2);
  t.false(written.join("").includes("\u001b"));
});
