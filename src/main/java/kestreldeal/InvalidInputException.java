package kestreldeal;

/** Thrown if input or a setting is invalid; the message is meant for the user. */
public final class InvalidInputException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message says what is wrong with the input. */
    public InvalidInputException(String text) {
        super(text);
    }
}
