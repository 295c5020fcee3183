#pragma once

#include "decisions/indexes.h"

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace guavavalve::internal {

/// Records at stable indexes and addresses; freed indexes are used again, last freed first. Grows
/// by chunks: one that moved everything when it grows would hold up a decision for milliseconds.
template<typename Record>
class Slab
{
public:
    Index add()
    {
        if (this->unused.empty()) {
            if (this->used % chunkSize == 0)
                this->chunks.push_back(std::make_unique<Chunk>());
            return this->used++;
        }
        const Index index = this->unused.back();
        this->unused.pop_back();
        (*this)[index] = Record();
        return index;
    }

    void remove(Index index) { this->unused.push_back(index); }

    Record &operator[](Index index)
    {
        return (*this->chunks[index / chunkSize])[index % chunkSize];
    }
    const Record &operator[](Index index) const
    {
        return (*this->chunks[index / chunkSize])[index % chunkSize];
    }

    /// Indexes ever used; those that were removed are among them.
    Index limit() const { return this->used; }

    /// Records that are in use.
    std::size_t size() const { return this->used - this->unused.size(); }

private:
    static constexpr Index chunkSize = 256;
    using Chunk = std::array<Record, chunkSize>;

    std::vector<std::unique_ptr<Chunk>> chunks;
    Index used = 0; ///< indexes ever given out
    std::vector<Index> unused;
};

} // namespace guavavalve::internal
