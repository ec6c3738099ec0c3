package io.parsleycleat.daemon.command;

/** How a command ended, as scripts see it. */
enum ExitCode {
    /** Done, and a change is in the log. */
    DONE(0),
    /** The arguments or the key file are wrong; nothing was sent. */
    USAGE(2),
    /** Refused: the operator key, a conflict or an invalid change. */
    REFUSED(3),
    /** What became of the change is unknown; ask again with the same change id. */
    UNKNOWN(4),
    /** The server cannot be reached; nothing was changed. */
    UNREACHABLE(5);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
