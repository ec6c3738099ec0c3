package io.parsleycleat.standin.measure.limits;

/** What load and which failure a comparison runs under. */
enum LimitsScenario {
    /** Every entry gets the same load. */
    BALANCED("balanced", 0, 0.9),
    /** Four fifths of each account's load come through one entry. */
    SKEWED("skewed", 0.8, 0.9),
    /** One entry is lost in the middle. */
    ENTRY_LOST("entry lost", 0, 0.9),
    /** The log is out from the beginning of the measurement. */
    LOG_OUT("log out", 0, 0.9),
    /** One account sends four times its rate. */
    OVERLOAD("one account at 4x", 0, 0.9);

    private final String label;
    private final double skew;
    private final double load;

    LimitsScenario(String label, double skew, double load) {
        this.label = label;
        this.skew = skew;
        this.load = load;
    }

    String label() {
        return label;
    }

    /** Returns the share of an account's load that comes through its favourite entry. */
    double skew() {
        return skew;
    }

    /** Returns the load of an account relative to its rate. */
    double load(int account) {
        return this == OVERLOAD && account == 1 ? 4 : load;
    }
}
