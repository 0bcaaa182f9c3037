import { connect, type Socket } from "node:net";

// All connections read into the same buffer, since reads never overlap. Reading
// from a stream allocates 64 KiB per read and adds the stream's own buffering.
const buffer = Buffer.allocUnsafe(64 * 1024);

/** Opens a TCP connection. `onChunk` gets a copy of the bytes of each read. */
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
