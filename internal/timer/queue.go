package timer

import (
	"container/heap"
	"time"
)

// idleWait is how long a Real service sleeps when there are no jobs.
const idleWait = time.Hour

// job is a scheduled callback.
type job struct {
	at     time.Time
	seq    uint64        // order in which jobs were added
	period time.Duration // 0 for a job that runs once
	fn     func(now time.Time)
	pos    int // index in the heap, -1 when removed
}

// queue is a priority queue of jobs, ordered by time and then by the order in which
// they were added.
type queue struct {
	jobs jobs
	seq  uint64
}

func (q *queue) add(at time.Time, period time.Duration, fn func(now time.Time)) *job {
	q.seq++
	j := &job{at: at, seq: q.seq, period: period, fn: fn}
	heap.Push(&q.jobs, j)

	return j
}

func (q *queue) remove(j *job) {
	j.period = 0
	if j.pos >= 0 {
		heap.Remove(&q.jobs, j.pos)
	}
}

// due returns the first job that is due, or nil, and removes it from the queue. A periodic
// job is rescheduled instead. Missed periods are skipped, so that after a pause the job
// runs only once.
func (q *queue) due(now time.Time) *job {
	if len(q.jobs) == 0 || q.jobs[0].at.After(now) {
		return nil
	}
	j := q.jobs[0]
	if j.period == 0 {
		heap.Pop(&q.jobs)

		return j
	}
	late := now.Sub(j.at)
	j.at = now.Add(j.period - late%j.period)
	heap.Fix(&q.jobs, 0)

	return j
}

// wait returns the time until the first job is due.
func (q *queue) wait(now time.Time) time.Duration {
	if len(q.jobs) == 0 {
		return idleWait
	}

	return max(q.jobs[0].at.Sub(now), 0)
}

// jobs implements heap.Interface.
type jobs []*job

func (j jobs) Len() int { return len(j) }

func (j jobs) Less(a, b int) bool {
	if j[a].at.Equal(j[b].at) {
		return j[a].seq < j[b].seq
	}

	return j[a].at.Before(j[b].at)
}

func (j jobs) Swap(a, b int) {
	j[a], j[b] = j[b], j[a]
	j[a].pos, j[b].pos = a, b
}

// Push implements heap.Interface.
func (j *jobs) Push(x any) {
	item, _ := x.(*job)
	item.pos = len(*j)
	*j = append(*j, item)
}

// Pop implements heap.Interface.
func (j *jobs) Pop() any {
	old := *j
	last := old[len(old)-1]
	last.pos = -1
	old[len(old)-1] = nil // frees what the callback refers to
	*j = old[:len(old)-1]

	return last
}
