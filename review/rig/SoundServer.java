/** A server as a process of its own, which answers each request after a time; a crash is a SIGKILL. */
final class SoundServer {
    private SoundServer() {}

    public static void main(String[] args) throws Exception {
        String id = args[0];
        long workMillis = Long.parseLong(args[1]);
        int port = CaseRig.serve((socket, in, out) -> {
            for (CaseRig.Head head = CaseRig.readHead(in); head != null; head = CaseRig.readHead(in)) {
                CaseRig.exactly(in, head.length());
                String echo = "X-Attempt-Id: " + head.id() + "\r\n";
                if (!id.equals(head.headers().get("x-expect-instance"))) {
                    out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Instance-Id: " + id + "\r\n"
                                    + echo + "Content-Length: 0\r\n\r\n")
                            .getBytes());
                    continue;
                }
                System.out.println("run " + head.id() + " " + head.path());
                Thread.sleep(workMillis);
                out.write(("HTTP/1.1 200 OK\r\n" + echo + "X-Server-Seal: " + id
                                + "\r\nContent-Length: 6\r\n\r\nrecord")
                        .getBytes());
            }
        });
        System.out.println("port " + port);
        Thread.currentThread().join();
    }
}
