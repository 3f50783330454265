package kestreldeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Random operations on the queue, compared with a list that is searched for its first entry. */
class DueQueueTest {
    private static final class Item extends DueQueue.Entry {
    }

    @Test
    void returnsTheEarliestAndOfEqualTimesTheOneSetFirst() {
        Random random = new Random(1);
        for (int round = 0; round < 200; round++) {
            DueQueue<Item> queue = new DueQueue<>();
            List<Item> expected = new ArrayList<>();
            List<Item> items = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                items.add(new Item());
            }
            for (int i = 0; i < 400; i++) {
                Item item = items.get(random.nextInt(items.size()));
                int operation = random.nextInt(8);
                if (operation < 5) {
                    queue.set(item, random.nextInt(10));
                    expected.remove(item);
                    expected.add(item);
                } else if (operation == 5) {
                    queue.remove(item);
                    expected.remove(item);
                } else if (operation == 6) {
                    queue.set(item, Double.POSITIVE_INFINITY);
                    expected.remove(item);
                } else {
                    Item earliest = earliest(expected);
                    assertSame(earliest, queue.poll());
                    expected.remove(earliest);
                }
                assertEquals(expected.size(), queue.size());
                assertSame(earliest(expected), queue.first());
            }
        }
        assertNull(new DueQueue<Item>().poll());
    }

    private static Item earliest(List<Item> expected) {
        Item earliest = null;
        for (Item item : expected) {
            earliest = earliest == null || item.dueAt() < earliest.dueAt() ? item : earliest;
        }
        return earliest;
    }
}
