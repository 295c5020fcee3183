#pragma once

#include "failingstorage.h"
#include "journal/journal.h"
#include "testgroup.h"

#include <atomic>
#include <memory>
#include <string>
#include <utility>

namespace guavavalve {

/// A group of one replica, which leads and whose disk can be made to fail.
class SingleReplica
{
public:
    /// \a code is the error of its failing writes.
    explicit SingleReplica(ErrorCode code)
        : messenger(messengerOptions())
        , router(this->messenger)
        , fails(std::make_shared<std::atomic<bool>>(false))
    {
        REQUIRE(this->messenger.start());
        RaftOptions options;
        options.instance = "a";
        options.address = "127.0.0.1:" + std::to_string(this->messenger.port());
        options.clusterId = "test";
        options.onStorageFailure = [this](const Error &) { ++this->storageFailures; };
        options.onDiskRefusal = [this](const std::optional<Error> &refusal) {
            ++(refusal ? this->refusals : this->recoveries);
        };
        JournalOptions journal;
        journal.clusterId = "test";
        journal.random = [] { return std::uint64_t{9}; };
        auto storage = std::make_unique<FailingStorage>(
            openJournal(this->folder.path(), std::move(journal)).value(), this->fails, code);
        this->node =
            std::make_unique<RaftNode>(options, std::move(storage), this->router, this->machine);
        REQUIRE(this->node->start());
        REQUIRE(await<Nothing>([&](Done<Nothing> done) {
            this->node->form({{"a", options.address, true, 0}}, std::move(done));
        }));
        REQUIRE(waitFor([&] { return this->node->holdsLeaderLease(); }));
    }
    ~SingleReplica()
    {
        this->node->stop();
        this->messenger.stop();
    }
    SingleReplica(const SingleReplica &) = delete;
    SingleReplica &operator=(const SingleReplica &) = delete;

    void setFailing(bool isFailing) { *this->fails = isFailing; }
    /// Increments \a ended when the proposal completes, and \a acknowledged if it succeeded.
    void propose(const std::string &command)
    {
        this->node->propose(command, [this](const Result<std::string> &outcome) {
            this->acknowledged += outcome ? 1 : 0;
            ++this->ended;
        });
    }

    std::atomic<int> storageFailures{0};
    std::atomic<int> refusals{0};
    std::atomic<int> recoveries{0};
    std::atomic<int> acknowledged{0};
    std::atomic<int> ended{0};
    RecordingMachine machine;
    std::unique_ptr<RaftNode> node;

private:
    static MessengerOptions messengerOptions()
    {
        MessengerOptions options;
        options.instance = "a";
        options.listenAddress = "127.0.0.1:0";
        options.clusterId = "test";
        options.sharedSecret = "a secret of the tests";
        return options;
    }

    TcpMessenger messenger;
    GroupRouter router;
    TemporaryFolder folder;
    std::shared_ptr<std::atomic<bool>> fails;
};

} // namespace guavavalve
