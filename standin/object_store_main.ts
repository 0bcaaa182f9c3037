import { startObjectStore } from "./start_object_store.ts";
import { runStandin } from "./run_standin.ts";

await runStandin("object-store", startObjectStore);
