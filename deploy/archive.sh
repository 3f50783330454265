#!/bin/sh
# Creates the class data sharing archive of a sender, with which a restart on one core takes less than half the time.
# To record the classes that a sender loads, the script briefly runs one against Training.java, which submits a few
# messages and provides stubs of the agent and of an endpoint. Without the archive a sender still starts, only more
# slowly, so a failure here does not fail the build.
cd "$(dirname "$0")/.." || exit 0
state=target/training
rm -rf "$state" target/sender.jsa
mkdir -p "$state"
GW_CONFIG=deploy/training.json GW_STATE=$state GW_NAME=training GW_LISTEN=127.0.0.1:47979 \
    GW_DISCOVERY=127.0.0.1:47980 java @deploy/java.options -Xlog:disable -XX:ArchiveClassesAtExit=target/sender.jsa \
    -jar target/kestreldeal.jar serve --alone >"$state/log" 2>&1 &
sender=$!
java deploy/Training.java >>"$state/log" 2>&1
kill -HUP $sender 2>/dev/null
sleep 0.3
kill -TERM $sender 2>/dev/null
wait $sender
exit 0
