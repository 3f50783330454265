package kestreldeal.net;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;

/** A handler that is ready but knows no class, tenant or destination and accepts no message. */
class ReadySubmissionHandler implements ClientServer.SubmissionHandler {
    @Override
    public boolean isHealthy() {
        return true;
    }

    @Override
    public boolean knowsClass(String name) {
        return false;
    }

    @Override
    public boolean knowsTenant(String name) {
        return false;
    }

    @Override
    public boolean needsKey(String messageClass) {
        return false;
    }

    @Override
    public boolean checkDestination(long destination) {
        return false;
    }

    @Override
    public Optional<HttpResponseStatus> previousAnswer(String id) {
        return Optional.empty();
    }

    @Override
    public Optional<AcceptedMessage> accept(ClientServer.Submission submission) {
        return Optional.empty();
    }

    @Override
    public void responseWritten(AcceptedMessage message, boolean success) {
    }
}
