#include "workflows/shares/accountshares.h"

#include "workflows/shares/accountuse.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

Resources milliCores(std::int64_t amount)
{
    Resources resources;
    resources[ResourceKind::MilliCores] = amount;
    return resources;
}

/// Accounts with work in the queues "urgent" and "batch" of a cell.
class SharesFixture
{
public:
    SharesFixture()
    {
        this->policy.queues["batch"].service = "s";
        this->policy.queues["batch"].priority = 2;
        this->policy.queues["urgent"].service = "s";
        this->policy.queues["other"].service = "t";
        this->weigh("a", 1.0);
        this->weigh("b", 1.0);
        this->weigh("c", 1.0);
    }

    void weigh(const std::string &account, double weight)
    {
        this->policy.accounts[account].weight = weight;
    }

    /// The account has and waits for these numbers of tasks of 1,000 milli-cores.
    void load(const std::string &account, const std::string &queue, std::size_t placed,
              std::size_t waiting, double waitingQueryMs = 0.0)
    {
        AccountLoad load;
        load.placed = milliCores(1000 * static_cast<std::int64_t>(placed));
        load.placedTasks = placed;
        load.waiting = milliCores(1000 * static_cast<std::int64_t>(waiting));
        load.waitingTasks = waiting;
        load.waitingQueryMs = waitingQueryMs;
        this->loads[{account, queue}] = load;
    }

    AccountLoads table()
    {
        AccountLoads table;
        for (const auto &[key, load] : this->loads)
            table[table.row(key.first, key.second)] = load;
        return table;
    }

    AccountShares shares(std::int64_t freeTasks)
    {
        return {this->policy, this->table(), this->use, {{"s", milliCores(1000 * freeTasks)}}};
    }

    /// How many of the account's waiting tasks, one after the other, are within its share.
    std::size_t within(AccountShares &shares, const std::string &account, const std::string &queue)
    {
        AccountLoads rows = this->table();
        const AccountLoads::Row row = rows.row(account, queue);
        std::size_t count = 0;
        for (std::size_t i = 0; i < rows[row].waitingTasks; ++i)
            count += shares.take(row, milliCores(1000), 0.0) ? 0 : 1;
        return count;
    }

    Policy policy;
    AccountUse use;
    std::map<std::pair<std::string, std::string>, AccountLoad> loads;
};

constexpr Instant begin{std::chrono::seconds(100)};

} // namespace

TEST_CASE_METHOD(SharesFixture, "nobody is beyond a share while all fits", "[shares]")
{
    this->load("a", "batch", 80, 15);
    this->load("b", "batch", 0, 5);
    AccountShares shares = this->shares(20);
    CHECK(this->within(shares, "a", "batch") == 15);
    CHECK(this->within(shares, "b", "batch") == 5);
    CHECK(shares.mostBeyondShare(5).empty());
}

// Guards against a flood of one account that takes the room of the others.
TEST_CASE_METHOD(SharesFixture, "what does not fit is that of the account that wants most",
                 "[shares]")
{
    this->load("a", "batch", 40, 500);
    this->load("b", "batch", 10, 10);
    this->load("c", "batch", 0, 20);
    AccountShares shares = this->shares(50); // of 100: 20 for b, 20 for c, 60 for a
    CHECK(this->within(shares, "a", "batch") == 20);
    CHECK(this->within(shares, "b", "batch") == 10);
    CHECK(this->within(shares, "c", "batch") == 20);
}

TEST_CASE_METHOD(SharesFixture, "contended room is shared by weight", "[shares]")
{
    this->weigh("a", 3.0);
    this->load("a", "batch", 0, 500);
    this->load("b", "batch", 0, 500);
    AccountShares shares = this->shares(100);
    CHECK(this->within(shares, "a", "batch") == 75);
    CHECK(this->within(shares, "b", "batch") == 25);
}

// Guards against urgent work of an account that waits because the account has much batch work.
TEST_CASE_METHOD(SharesFixture, "less urgent work does not count against urgent work", "[shares]")
{
    this->load("a", "batch", 90, 0);
    this->load("a", "urgent", 0, 10);
    this->load("b", "urgent", 0, 10);
    AccountShares shares = this->shares(10);
    CHECK(this->within(shares, "a", "urgent") == 5);
    CHECK(this->within(shares, "b", "urgent") == 5);
}

TEST_CASE_METHOD(SharesFixture, "urgent work counts against less urgent work", "[shares]")
{
    this->load("a", "urgent", 40, 0);
    this->load("a", "batch", 0, 100);
    this->load("b", "batch", 0, 100);
    AccountShares shares = this->shares(60);
    CHECK(this->within(shares, "a", "batch") == 10);
    CHECK(this->within(shares, "b", "batch") == 50);
}

TEST_CASE_METHOD(SharesFixture, "accounts of another service do not compete", "[shares]")
{
    this->load("a", "batch", 0, 10);
    this->load("b", "other", 0, 500);
    AccountShares shares = this->shares(20);
    CHECK(this->within(shares, "a", "batch") == 10);
    CHECK(this->within(shares, "b", "other") == 500); // its service has no open targets
}

// Guards against a gang that never starts because a part of it exceeds its account's share.
TEST_CASE_METHOD(SharesFixture, "a gang that begins below the share may exceed it", "[shares]")
{
    this->load("a", "batch", 0, 80);
    this->load("b", "batch", 0, 80);
    AccountShares shares = this->shares(100);
    AccountLoads rows = this->table();
    const AccountLoads::Row row = rows.row("a", "batch");
    CHECK_FALSE(shares.take(row, milliCores(79000), 0.0));
    CHECK(shares.take(row, milliCores(1000), 0.0));
}

TEST_CASE_METHOD(SharesFixture, "what an account may not have by its limit goes to the others",
                 "[shares]")
{
    this->policy.accounts["a"].limit[ResourceKind::MilliCores] = 10000;
    this->load("a", "batch", 0, 500);
    this->load("b", "batch", 0, 500);
    AccountShares shares = this->shares(100);
    CHECK(this->within(shares, "b", "batch") == 90);
}

// Guards against weights that are no use as a divisor.
TEST_CASE_METHOD(SharesFixture, "any weight leaves the others their part", "[shares]")
{
    const double weight = GENERATE(0.0, -5.0, std::numeric_limits<double>::quiet_NaN());
    this->weigh("a", weight);
    this->load("a", "batch", 0, 500);
    this->load("b", "batch", 0, 500);
    AccountShares shares = this->shares(100);
    CHECK(this->within(shares, "a", "batch") <= 1);
    CHECK(this->within(shares, "b", "batch") >= 99);
}

TEST_CASE_METHOD(SharesFixture, "a huge weight gives an account all that it wants", "[shares]")
{
    this->weigh("a", std::numeric_limits<double>::infinity());
    this->load("a", "batch", 0, 60);
    this->load("b", "batch", 0, 500);
    AccountShares shares = this->shares(100);
    CHECK(this->within(shares, "a", "batch") == 60);
    CHECK(this->within(shares, "b", "batch") == 40);
}

// Guards against a crash when an account is removed while it is beyond its share.
TEST_CASE_METHOD(SharesFixture, "an account that is not in the policy has the usual weight",
                 "[shares]")
{
    this->policy.accounts.erase("a");
    this->load("a", "batch", 80, 500);
    this->load("b", "batch", 0, 500);
    AccountShares shares = this->shares(20);
    CHECK(this->within(shares, "a", "batch") == 0);
    CHECK(this->within(shares, "b", "batch") == 50);
    REQUIRE(shares.mostBeyondShare(1).size() == 1);
    CHECK(shares.mostBeyondShare(1).front().account == "a");
}

TEST_CASE_METHOD(SharesFixture, "a lower weight takes effect in the next plan", "[shares]")
{
    this->load("a", "batch", 40, 500);
    this->load("b", "batch", 0, 500);
    AccountShares before = this->shares(60);
    CHECK(this->within(before, "a", "batch") == 10);
    this->weigh("a", 0.25);
    AccountShares after = this->shares(60);
    CHECK(this->within(after, "a", "batch") == 0);
    CHECK(this->within(after, "b", "batch") == 80);
}

TEST_CASE_METHOD(SharesFixture, "all accounts can be beyond their share", "[shares]")
{
    this->load("a", "batch", 50, 10);
    this->load("b", "batch", 50, 10);
    AccountShares shares = this->shares(0);
    CHECK(this->within(shares, "a", "batch") == 0);
    CHECK(this->within(shares, "b", "batch") == 0);
}

// Guards against an account whose short tasks have just ended at each plan.
TEST_CASE_METHOD(SharesFixture, "recent use counts as much as what is placed", "[shares]")
{
    this->load("a", "urgent", 80, 0);
    this->use.observe(this->table(), {}, begin);
    this->load("a", "urgent", 0, 500);
    this->load("b", "urgent", 0, 500);
    AccountShares shares = this->shares(100);
    CHECK(this->within(shares, "a", "urgent") == 0);
    CHECK(this->within(shares, "b", "urgent") >= 50);
}

// Guards against an account whose queries keep all instances busy in a cell with room.
TEST_CASE_METHOD(SharesFixture, "query time is shared while no instance has any left", "[shares]")
{
    this->load("a", "batch", 0, 50, 50000.0);
    this->load("b", "batch", 0, 5, 5000.0);
    AccountLoads queried = this->table();
    const AccountLoads::Row row = queried.row("a", "batch");
    queried[row].queryMs = 8000.0;
    this->use.observe(queried, 2, begin);
    AccountShares shares = this->shares(100);
    CHECK(shares.take(row, milliCores(1000), 1000.0));
    CHECK_FALSE(shares.take(queried.row("b", "batch"), milliCores(1000), 1000.0));

    this->use.observe(queried, {}, begin + Milliseconds(100));
    AccountShares uncontended = this->shares(100);
    CHECK_FALSE(uncontended.take(row, milliCores(1000), 1000.0));
}

// Guards against a crash when a queue is removed of which an account has recent use.
TEST_CASE_METHOD(SharesFixture, "use of a queue that is no longer in the policy does not count",
                 "[shares]")
{
    this->load("a", "urgent", 80, 0);
    this->use.observe(this->table(), {}, begin);
    this->loads.clear();
    this->policy.queues.erase("urgent");
    this->load("a", "batch", 0, 500);
    this->load("b", "batch", 0, 500);
    AccountShares shares = this->shares(100);
    CHECK(this->within(shares, "a", "batch") == 50);
    CHECK(this->within(shares, "b", "batch") == 50);
}

TEST_CASE_METHOD(SharesFixture, "standings say what each account is due, has and waits for",
                 "[shares]")
{
    this->load("a", "batch", 60, 500);
    this->load("b", "batch", 10, 90);
    const std::vector<AccountStanding> standings = this->shares(30).standings();
    REQUIRE(standings.size() == 2);
    CHECK(standings[0].due == Approx(0.5));
    CHECK(standings[0].placed == Approx(0.6));
    CHECK(standings[0].excess() == Approx(0.1));
    CHECK(standings[0].waitingTasks == 500);
    CHECK(standings[1].placed == Approx(0.1));
}

// Guards against a new controller for which every account has an unused share.
TEST_CASE_METHOD(SharesFixture, "what is placed at first counts as the use so far", "[shares]")
{
    this->load("a", "urgent", 80, 0);
    this->use.observe(this->table(), {}, begin);
    CHECK(this->use.recent("a").at("urgent")[0] == Approx(80000.0));
    CHECK(this->use.recent("b").empty());
}

TEST_CASE_METHOD(SharesFixture, "use becomes recent use as time passes", "[shares]")
{
    this->use.observe(this->table(), {}, begin);
    this->load("a", "urgent", 80, 0);
    this->use.observe(this->table(), {}, begin + Milliseconds(10));
    CHECK(this->use.recent("a").at("urgent")[0] < 1000.0);
    this->use.observe(this->table(), {}, begin + 4 * useMemory);
    CHECK(this->use.recent("a").at("urgent")[0] > 75000.0);
}

// Guards against a table that grows with every account that ever had work.
TEST_CASE_METHOD(SharesFixture, "accounts without recent use are forgotten", "[shares]")
{
    this->load("a", "urgent", 80, 0);
    this->use.observe(this->table(), {}, begin);
    this->loads.clear();
    this->use.observe(this->table(), {}, begin + useMemory);
    CHECK(this->use.size() == 1);
    this->use.observe(this->table(), {}, begin + 20 * useMemory);
    CHECK(this->use.size() == 0);
}

// Guards against a service with one account whose queries come after those of all other services.
TEST_CASE_METHOD(SharesFixture, "an account without competitors is never beyond its share",
                 "[shares]")
{
    this->load("a", "batch", 0, 50, 50000.0);
    AccountLoads queried = this->table();
    queried[0].queryMs = 8000.0;
    this->use.observe(queried, 0, begin);
    AccountShares shares = this->shares(10);
    CHECK(this->within(shares, "a", "batch") == 50);
    CHECK(shares.mostBeyondShare(1).empty());
}

// Guards against a service that uses little query time and has to share out that little alone.
TEST_CASE_METHOD(SharesFixture, "accounts of all services compete for query time", "[shares]")
{
    this->policy.queues["other"].priority = 2;
    this->load("a", "batch", 0, 5, 1000.0);
    this->load("b", "other", 0, 500, 500000.0);
    AccountLoads queried = this->table();
    const AccountLoads::Row first = queried.row("a", "batch");
    const AccountLoads::Row second = queried.row("b", "other");
    queried[first].queryMs = 500.0;
    queried[second].queryMs = 8000.0;
    this->use.observe(queried, 0, begin);
    this->load("c", "batch", 0, 5, 1000.0);
    AccountShares shares = this->shares(100);
    CHECK_FALSE(shares.take(first, milliCores(1000), 100.0));
    CHECK(shares.take(second, milliCores(1000), 100.0));
}

// Guards against an account at its limit that holds a share of query time which it cannot use.
TEST_CASE_METHOD(SharesFixture, "the limit bounds the query time that an account wants", "[shares]")
{
    this->policy.accounts["a"].limit[ResourceKind::MilliCores] = 10000;
    this->load("a", "batch", 10, 500, 500000.0);
    this->load("b", "batch", 0, 50, 50000.0);
    AccountLoads queried = this->table();
    const AccountLoads::Row row = queried.row("b", "batch");
    queried[queried.row("a", "batch")].queryMs = 1000.0;
    queried[row].queryMs = 5000.0;
    this->use.observe(queried, 2, begin);
    AccountShares shares = this->shares(100);
    // 6,000 ms were used: 1,000 by a, which wants no more, so that b may have 5,000 and not 3,000.
    CHECK(shares.standings()[1].due == Approx(5.0 / 6.0));
}

// Guards against an account that has lost a failure domain and comes last with its restarts.
TEST_CASE_METHOD(SharesFixture, "runs that were lost do not count as recent use", "[shares]")
{
    this->load("a", "batch", 60, 0);
    this->load("b", "batch", 60, 0);
    this->use.observe(this->table(), {}, begin);
    for (unsigned i = 0; i < 50; ++i)
        this->use.forgetRun("a", "batch", milliCores(1000));
    this->load("a", "batch", 10, 50);
    this->load("b", "batch", 60, 500);
    AccountShares shares = this->shares(30); // of 100
    CHECK(this->within(shares, "a", "batch") >= 30);
    CHECK(this->within(shares, "b", "batch") == 0);
}

// Guards against a new controller for which every query takes a large part of the query time.
TEST_CASE_METHOD(SharesFixture, "query time is that of the observed time", "[shares]")
{
    this->load("a", "batch", 0, 5, 5000.0);
    AccountLoads queried = this->table();
    this->use.observe(queried, 2, begin);
    CHECK(this->use.queryTimeFactor() == Approx(10.0));
    this->use.observe(queried, 2, begin + useMemory / 2);
    CHECK(this->use.queryTimeFactor() == Approx(2.0));
    this->use.observe(queried, 2, begin + 5 * useMemory);
    CHECK(this->use.queryTimeFactor() == Approx(1.0));
}
