#pragma once

#include "journal/storage.h"

#include <memory>
#include <utility>

namespace guavavalve::bench {

/// Syncs after every entry, like a log without group commit.
class SyncEachStorage : public Storage
{
public:
    explicit SyncEachStorage(std::unique_ptr<Storage> wrapped)
        : storage(std::move(wrapped))
    {}

    Result<RecoveredState> recover() override { return this->storage->recover(); }
    Result<void> write(const WriteBatch &batch) override
    {
        WriteBatch first;
        first.hardState = batch.hardState;
        first.resetTo = batch.resetTo;
        if (auto written = this->storage->write(first); !written)
            return written;
        for (const LogEntry &entry : batch.entries) {
            WriteBatch single;
            single.entries.push_back(entry);
            if (auto written = this->storage->write(single); !written)
                return written;
        }
        return boost::outcome_v2::success();
    }
    Result<void> saveSnapshot(const SnapshotMeta &meta, const std::string &state) override
    {
        return this->storage->saveSnapshot(meta, state);
    }
    Result<std::string> readSnapshot(LogIndex index, std::uint64_t offset,
                                     std::size_t length) override
    {
        return this->storage->readSnapshot(index, offset, length);
    }
    Result<void> release(LogIndex through) override { return this->storage->release(through); }

private:
    std::unique_ptr<Storage> storage;
};

} // namespace guavavalve::bench
