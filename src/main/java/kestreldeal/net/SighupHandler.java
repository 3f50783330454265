package kestreldeal.net;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Handles SIGHUP, which by default ends a JVM. Java has no supported API for signals, so the JDK's internal one is
 * called by reflection: the compiler warns of any direct use, and on a JVM without it only the reload of the
 * configuration is lost. It is lost as well if the process was started with SIGHUP ignored, as nohup does; the command
 * in the deploy file resets that.
 */
final class SighupHandler {
    private SighupHandler() {
    }

    /** Runs the action at each SIGHUP from now on, one run at a time, on a thread of its own. */
    static void install(Runnable action) {
        ExecutorService executor = Executors.newSingleThreadExecutor(task -> {
            Thread daemon = new Thread(task, "reload");
            daemon.setDaemon(true);
            return daemon;
        });
        Runnable dispatch = () -> executor.execute(action);
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            MethodHandle runDispatch = MethodHandles.lookup()
                    .findVirtual(Runnable.class, "run", MethodType.methodType(void.class)).bindTo(dispatch);
            Object proxy = MethodHandleProxies.asInterfaceInstance(handler,
                    MethodHandles.dropArguments(runDispatch, 0, signal));
            Object previousHandler = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
            if (previousHandler == handler.getField("SIG_IGN").get(null)) {
                Log.write("SIGHUP was ignored when this process was started, and the JVM keeps ignoring it:"
                        + " a change of the configuration needs a restart");
            }
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            Log.write("SIGHUP can't be handled by this JVM, a change of the configuration needs a restart: " + e);
        }
    }
}
