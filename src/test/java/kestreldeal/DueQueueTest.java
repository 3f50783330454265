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
    void givesTheFirstInTimeAndOfOneTimeTheOneSetFirst() {
        Random random = new Random(1);
        for (int round = 0; round < 200; round++) {
            DueQueue<Item> queue = new DueQueue<>();
            List<Item> plain = new ArrayList<>();
            List<Item> items = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                items.add(new Item());
            }
            for (int i = 0; i < 400; i++) {
                Item item = items.get(random.nextInt(items.size()));
                int kind = random.nextInt(8);
                if (kind < 5) {
                    queue.set(item, random.nextInt(10));
                    plain.remove(item);
                    plain.add(item);
                } else if (kind == 5) {
                    queue.remove(item);
                    plain.remove(item);
                } else if (kind == 6) {
                    queue.set(item, Double.POSITIVE_INFINITY);
                    plain.remove(item);
                } else {
                    Item first = first(plain);
                    assertSame(first, queue.poll());
                    plain.remove(first);
                }
                assertEquals(plain.size(), queue.size());
                assertSame(first(plain), queue.first());
            }
        }
        assertNull(new DueQueue<Item>().poll());
    }

    private static Item first(List<Item> plain) {
        Item first = null;
        for (Item item : plain) {
            first = first == null || item.at() < first.at() ? item : first;
        }
        return first;
    }
}
