import { runStandin } from "./run_standin.ts";
import { startTableService } from "./start_table_service.ts";

await runStandin("table-service", startTableService);
