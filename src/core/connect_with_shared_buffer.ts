import { connect, type Socket } from "node:net";

// All connections read into one buffer, one after the other. Reading by stream
// allocates 64 KiB for each read and passes it through the stream's queue.
const buffer = Buffer.allocUnsafe(64 * 1024);

/** Opens a TCP connection; `onChunk` gets the bytes, which are its to keep. */
export function connectWithSharedBuffer(
  { host, port, allowHalfOpen = false }: {
    host: string;
    port: number;
    allowHalfOpen?: boolean;
  },
  onChunk: (chunk: Buffer) => void,
): Socket {
  return connect({
    host,
    port,
    allowHalfOpen,
    onread: {
      buffer,
      callback(bytes) {
        onChunk(Buffer.from(buffer.subarray(0, bytes)));
        return true;
      },
    },
  });
}
