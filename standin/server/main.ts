import process from "node:process";
import { startBackendServer } from "./start_backend_server.ts";
import { ServerSettings } from "./server_settings.ts";

const settings = ServerSettings.parse(JSON.parse(process.argv[2] ?? "{}"));
const server = startBackendServer(settings);
server.on("listening", () => console.log("listening"));
process.on("SIGTERM", () => process.exit(0));
