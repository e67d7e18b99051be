package work

// ShouldRun reports whether the task should start or continue to run. It is false
// once the job is cancelled or final, for a replica beyond the service's present
// number, and for tasks of an interrupted gang.
func (j *Job) ShouldRun(index int) bool {
	if j.Cancelled || j.FinalState != "" {
		return false
	}
	if j.Spec.Kind == KindGang && j.interrupted() {
		return false
	}
	return index < j.Spec.Tasks
}

// interrupted reports whether a task of a gang has failed for good, or has ended
// and become pending while others are still assigned. Those must stop before the
// gang is started again as a whole.
func (j *Job) interrupted() bool {
	for _, t := range j.Tasks {
		if t.State == TaskFailed || t.State == TaskPending && t.Attempt > 0 && j.Assigned > 0 {
			return true
		}
	}
	return false
}

// addUsage adds an assigned task to UsedByWorker, UsedByTenant and TasksByWorker.
func (s *State) addUsage(j *Job, ref TaskRef, t Task) {
	s.UsedByWorker[t.Worker] = s.UsedByWorker[t.Worker].Add(j.Spec.Size)
	s.UsedByTenant[j.Spec.Tenant] = s.UsedByTenant[j.Spec.Tenant].Add(j.Spec.Size)
	m := s.TasksByWorker[t.Worker]
	if m == nil {
		m = map[TaskRef]PlacedTask{}
		s.TasksByWorker[t.Worker] = m
	}
	m[ref] = PlacedTask{t.Attempt, j.Spec.Size}
}

// removeUsage undoes addUsage.
func (s *State) removeUsage(j *Job, ref TaskRef, t Task) {
	s.UsedByWorker[t.Worker] = s.UsedByWorker[t.Worker].Sub(j.Spec.Size)
	s.UsedByTenant[j.Spec.Tenant] = s.UsedByTenant[j.Spec.Tenant].Sub(j.Spec.Size)
	delete(s.TasksByWorker[t.Worker], ref)
	if len(s.TasksByWorker[t.Worker]) == 0 {
		delete(s.TasksByWorker, t.Worker)
		delete(s.UsedByWorker, t.Worker)
	}
}

func (s *State) task(ref TaskRef) (*Job, *Task) {
	j := s.Jobs[ref.Job]
	if j == nil || ref.Index < 0 || ref.Index >= len(j.Tasks) {
		return nil, nil
	}
	return j, &j.Tasks[ref.Index]
}

// IsCurrent reports whether a is the present assignment of its task.
func (s *State) IsCurrent(a Assign) bool {
	_, t := s.task(a.Task)
	return t != nil && t.State == TaskAssigned && t.Attempt == a.Attempt && t.Worker == a.Worker
}

func (s *State) assignTask(a Assign) bool {
	j, t := s.task(a.Task)
	if t == nil || t.State != TaskPending || a.Attempt != t.Attempt+1 || j.Cancelled || j.FinalState != "" {
		return false
	}
	t.State = TaskAssigned
	t.Attempt = a.Attempt
	t.Worker = a.Worker
	t.Incarnation = a.Incarnation
	j.Assigned++
	j.EverAssigned = true
	s.addUsage(j, a.Task, *t)
	return true
}

func (s *State) endAttempt(e End, atMs int64) bool {
	j, t := s.task(e.Task)
	if t == nil || t.State != TaskAssigned || t.Attempt != e.Attempt {
		return false
	}
	s.removeUsage(j, e.Task, *t)
	t.Worker, t.Incarnation = "", ""
	j.Assigned--
	s.updateTaskAfterEnd(j, e, t)
	if j.Spec.Kind == KindGang {
		s.requeueGang(j)
	}
	s.finishIfComplete(j, atMs)
	return true
}

// updateTaskAfterEnd sets the state of a task whose attempt has ended. A pending
// task of a gang is not added to NewlyPending; requeueGang adds the whole gang.
func (s *State) updateTaskAfterEnd(j *Job, e End, t *Task) {
	if e.Outcome == OutcomeFailed {
		t.FailedAttempts++
	}
	t.countLoss(j.Spec.Kind, e)
	switch {
	case j.Spec.Kind != KindService && e.Outcome == OutcomeDone:
		s.closeTask(j, t, TaskDone)
	case j.Cancelled || j.FinalState != "" || e.Task.Index >= j.Spec.Tasks:
		s.closeTask(j, t, TaskStopped)
	case j.Spec.Kind != KindService && t.FailedAttempts > j.Spec.Retries:
		s.closeTask(j, t, TaskFailed)
	default:
		t.State = TaskPending
		if j.Spec.Kind != KindGang {
			s.NewlyPending = append(s.NewlyPending, e.Task)
		}
	}
}

// countLoss counts the loss of a worker right after it started the task. Any
// other end of a service's replica shows that it can run.
func (t *Task) countLoss(kind string, e End) {
	if e.Early {
		t.EarlyLosses++
		if e.Crashed {
			t.Crashes++
		}
		return
	}
	if kind == KindService {
		t.EarlyLosses, t.Crashes = 0, 0
	}
}

// giveUpTask ends a pending task as failed. A gang fails as a whole.
func (s *State) giveUpTask(g GiveUp, atMs int64) {
	j, t := s.task(g.Task)
	if t == nil || t.State != TaskPending || j.Spec.Kind == KindService || j.FinalState != "" {
		return
	}
	s.closeTask(j, t, TaskFailed)
	j.Reason = g.Reason
	s.finishIfComplete(j, atMs)
}

func (s *State) closeTask(j *Job, t *Task, state string) {
	t.State = state
	j.Unfinished--
}

// requeueGang returns all tasks of a gang to pending once the last task of an
// interrupted gang has ended, unless a task has failed for good.
func (s *State) requeueGang(j *Job) {
	if j.Assigned > 0 || j.Cancelled || j.Unfinished == 0 {
		return
	}
	for i := range j.Tasks {
		if j.Tasks[i].State == TaskFailed {
			return
		}
	}
	j.Unfinished = len(j.Tasks)
	for i := range j.Tasks {
		j.Tasks[i].State = TaskPending
	}
	s.markNewlyPending(j)
}

// finishIfComplete sets the job's final state if no task of it is left to run.
func (s *State) finishIfComplete(j *Job, atMs int64) {
	if j.FinalState != "" || j.Assigned > 0 {
		return
	}
	failed := false
	for _, t := range j.Tasks {
		failed = failed || t.State == TaskFailed
	}
	if failed && j.Spec.Kind == KindGang {
		s.stopPending(j)
	}
	if j.Unfinished > 0 {
		return
	}
	final := JobDone
	if failed {
		final = JobFailed
	}
	if j.Cancelled {
		final = JobCancelled
	}
	if j.Cancelled && !j.EverAssigned {
		final = JobNotRun
	}
	s.setFinal(j, final, atMs)
}

func (s *State) stopPending(j *Job) {
	for i := range j.Tasks {
		if j.Tasks[i].State == TaskPending {
			s.closeTask(j, &j.Tasks[i], TaskStopped)
		}
	}
}

// setFinal sets the final state of a job and drops the oldest finished jobs and
// IDs above the limits.
func (s *State) setFinal(j *Job, final string, atMs int64) {
	j.FinalState = final
	j.EndedMs = atMs
	s.Finished = append(s.Finished, j.Spec.ID)
	if len(s.Finished) <= maxFinishedJobs {
		return
	}
	oldest := s.Finished[0]
	s.Finished = s.Finished[1:]
	delete(s.Jobs, oldest)
	s.RetiredIDs = append(s.RetiredIDs, oldest)
	s.retired[oldest] = true
	if len(s.RetiredIDs) > maxRetiredIDs {
		delete(s.retired, s.RetiredIDs[0])
		s.RetiredIDs = s.RetiredIDs[1:]
	}
}

func (s *State) cancelJob(id string, atMs int64) bool {
	j := s.Jobs[id]
	if j == nil || j.FinalState != "" || j.Cancelled {
		return false
	}
	j.Cancelled = true
	s.stopPending(j)
	s.finishIfComplete(j, atMs)
	return true
}

func (s *State) rejectJob(r JobReason, atMs int64) {
	j := s.Jobs[r.Job]
	if j == nil || j.FinalState != "" || j.EverAssigned {
		return
	}
	j.Reason = r.Reason
	s.stopPending(j)
	s.setFinal(j, JobNotRun, atMs)
}

func (s *State) setReason(r JobReason) {
	if j := s.Jobs[r.Job]; j != nil && j.FinalState == "" {
		j.Reason = r.Reason
	}
}

func (s *State) resizeService(r Resize) {
	j := s.Jobs[r.Job]
	if j == nil || j.FinalState != "" || j.Spec.Kind != KindService || r.Tasks < 1 || r.Tasks > MaxTasks {
		return
	}
	j.Spec.Tasks = r.Tasks
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch {
		case i >= r.Tasks && t.State == TaskPending:
			s.closeTask(j, t, TaskStopped)
		case i < r.Tasks && t.State == TaskStopped:
			t.State = TaskPending
			j.Unfinished++
			s.NewlyPending = append(s.NewlyPending, TaskRef{r.Job, i})
		}
	}
	for i := len(j.Tasks); i < r.Tasks; i++ {
		j.Tasks = append(j.Tasks, Task{State: TaskPending})
		j.Unfinished++
		s.NewlyPending = append(s.NewlyPending, TaskRef{r.Job, i})
	}
}
