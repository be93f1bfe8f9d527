# Draws days with one to twelve disruptions and plays them until the time is over; run in the repository:
# draw.py SITE TAG SECONDS JOBS SEED ENGINES PLAIN ZONE,ZONE,...
import random,subprocess,json,os,sys,tempfile,time
from concurrent.futures import ThreadPoolExecutor
SITE=sys.argv[1]; TAG=sys.argv[2]; END=time.time()+float(sys.argv[3]); JOBS=int(sys.argv[4]); SEED0=int(sys.argv[5])
LLM,APP=sys.argv[6],sys.argv[7]; ZONES=sys.argv[8].split(',')
MODE=sys.argv[9] if len(sys.argv)>9 else 'any'
BENCH='../given/kit/more/system/bin/fleetbench'
OUT=tempfile.mkdtemp()
R=random.Random(SEED0)
def svc(r): return r.choice([LLM,APP])
def entry(r,kind):
    e={'kind':kind}
    f=lambda *a: r.choice(a)
    post=lambda: f('','',' meet',' race',' hard',' drain',' meet drain',' race drain')
    if kind=='srv_crash': e|=dict(service=svc(r),share=f(.12,.17,.25),for_s=f(2.0,4.6,4.8),how=f('','dark','gone','domain','across','rack'))
    elif kind=='srv_slow': e|=dict(share=.15,x=4,for_s=5.5,service=svc(r))
    elif kind=='srv_grey': e|=dict(share=.15,x=.45,for_s=6.5,how=f('errors','shed','busy','hang','reset','mute','slow'),service=svc(r))
    elif kind=='srv_cut': e|=dict(share=.2,for_s=5.0,how=f('','fronts','some','some lossy','one_way','reset','reborn','some reset'),service=svc(r))
    elif kind=='answer_lost': e|=dict(share=.6,x=f(.06,.4),for_s=6.0,how=f('','reset'),service=svc(r))
    elif kind=='garble': e|=dict(share=.6,x=.05,for_s=5.5,how=f('','extra','extra late','unframed','early','unframed extra'),service=svc(r))
    elif kind=='node_kill':
        if r.random()<.5: e|=dict(share=.16,for_s=3.8,how=f('','power'))
        else: e|=dict(on='core',count=1,for_s=3.8,how=(f('','power ')+f('leader','giver','renewed','reader','turn','follower')+post()).strip())
    elif kind=='node_freeze': e|=dict(on='core',count=1,for_s=f(4.0,6.4),how=(f('leader','giver','renewed','giver renewed','reader','leader renewed','turn')+post()).strip())
    elif kind=='node_slow': e|=dict(share=.15,x=5.5,for_s=5.5)
    elif kind=='roll_term': e|=dict(share=f(.45,1.0),x=1.0,gap_s=f(1.0,1.53,2.0),how=f('','busy','leader','busy','drain','meet'))
    elif kind=='replace_core': e|=dict(x=f(1.0,2.0,4.0),how=f('','planned','leader','oldest'))
    elif kind=='after_ack_kill': e|=dict(for_s=3.0,how=f('','kill','timed'))
    elif kind=='hup': e|=dict(share=.769,gap_s=2.0)
    elif kind=='zone_cut': e|=dict(for_s=6.5,how=f('','reset','refuse','drop','drop meet','reset meet'),zone=f(*ZONES))
    elif kind=='core_cut': e|=dict(count=1,for_s=6.5,how=f('','giver','leader race','all','near','one_way','both','reset','refuse','leader meet','all giver','lure','relieve','all reset'))
    elif kind=='node_cut': e|=dict(share=f(.17,.35),for_s=f(5.5,12.0),how=f('','all','servers','servers reborn','meet','reset','refuse','all reset','servers reset','all meet'))
    elif kind=='lossy': e|=dict(x=.03,for_s=5.5,zone=f(*ZONES))
    elif kind=='platform_down':
        e|=f(dict(for_s=9.0,how=f('','silent','busy','reset','silent lapse','busy lapse','reset lapse')),dict(for_s=9.0,share=.35,how=f('nodes','nodes busy meet drain','nodes many meet','nodes reset','nodes busy drain','nodes drain')),dict(for_s=7.0,count=1,how=f('nodes leader busy','nodes leader','nodes leader reset drain')))
    elif kind=='platform_slow': e|=dict(x=f(60.0,96.0),for_s=4.5)
    elif kind=='platform_lost': e|=dict(x=.35,for_s=4.5,how=f('','late'))
    elif kind=='platform_compact': e|=dict(x=6.0,for_s=f(3.0,12.0),how=f('','drain'))
    elif kind=='applied_late': e|=dict(x=.35,for_s=6.0,how=f('orders','all',''))
    elif kind=='kv_slow': e|=dict(share=.32,x=8,for_s=5.5,service=LLM)
    elif kind=='handle_short': e|=dict(share=.35,for_s=4.4,service=LLM)
    elif kind=='replace_with_reuse': e|=dict(share=.15,how=f('','drain','dark'))
    elif kind=='herd_kill': e|=f(dict(share=.6,how=f('','power'),for_s=3.0),dict(on='core',how=f('','off'),for_s=2.0))
    elif kind=='clock_step': e|=dict(share=.3,x=2000,for_s=5.0,how=f('back','ahead'))
    elif kind=='reset_conns': e|=dict(share=.1,x=.5)
    elif kind=='retry_abuse': e|=dict(x=3.0,share=.3,for_s=5.5)
    elif kind=='give_up': e|=dict(share=.3,for_s=5.5,how=f('','once'))
    elif kind=='burst': e|=dict(x=2.0,for_s=5.0)
    elif kind=='config_change': e|=dict(how=f('route','weights','timeout','idle'))
    elif kind=='big_config': e|=dict(count=350)
    elif kind=='release': e|=dict(share=.522,x=1.0,gap_s=f(.71,1.0),service=svc(r))
    elif kind=='scale_out': e|=dict(share=.25,gap_s=2.0,service=svc(r))
    elif kind=='scale_in': e|=dict(share=.25,how=f('','spot','reclaim'),service=svc(r))
    elif kind=='srv_lying_health': e|=dict(share=.1,for_s=6.5,how=f('','bad','reset','hang','errors'),service=svc(r))
    elif kind=='srv_flap': e|=dict(share=.1,gap_s=1.4,for_s=6.5,service=svc(r))
    elif kind=='shift': e|=dict(zone=ZONES[0],to_zone=ZONES[1],x=.5,for_s=5.0)
    elif kind=='add_nodes': e|=dict(share=.75)
    if 'grown' in SITE and kind=='release': e|=dict(share=.45,x=f(1.0,9.0),gap_s=1.0)
    if 'grown' in SITE and kind=='roll_term': e['x']=5.0
    if 'grown' in SITE and kind=='srv_lying_health' and not e['how']: e['how']='errors'
    if e.get('how')=='' : e.pop('how')
    return e
PLAN=['release','scale_out','scale_in','roll_term','hup','config_change','big_config']
FAULT=['srv_crash','srv_slow','srv_grey','srv_cut','answer_lost','garble','node_kill','node_freeze','node_slow','replace_core','after_ack_kill','zone_cut','core_cut','node_cut','lossy','platform_down','platform_slow','platform_lost','platform_compact','applied_late','kv_slow','handle_short','replace_with_reuse','herd_kill','clock_step','reset_conns','retry_abuse','give_up','burst']+(['srv_lying_health','srv_flap','shift','add_nodes']*2 if 'grown' in SITE else [])
def t(v):
    if isinstance(v,str): return json.dumps(v)
    return repr(v)
def day(n):
    r=random.Random(SEED0*100003+n)
    k=r.choice([1,2,2,3,4,6]) 
    plan=[];faults=[]
    base=round(r.uniform(1,12),2)
    for i in range(k):
        kind=r.choice(FAULT); reps=r.choice([1,1,2])
        for j in range(reps):
            e=entry(r,kind); at=round(base+r.uniform(0,3) if r.random()<.5 else r.uniform(0,32),2)
            faults.append(dict(at=at,**e))
    for i in range(r.choice([0,1,1,2,3])):
        e=entry(r,r.choice(PLAN)); plan.append(dict(at=round(base+r.uniform(-1,3) if r.random()<.5 else r.uniform(0,30),2),**e))
    plan=[dict(p,at=max(0,p['at'])) for p in plan]
    s='name = "x%d"\nlength_s = 38.0\n'%n
    if r.random()<.25: s+='closing = { kind = "%s", down_s = 1.2 }\n'%r.choice(['power_off_all','kill_all','wipe_after_ack'])
    for nm,l in(('plan',plan),('faults',faults)):
        s+=nm+' = [\n'+''.join('  { '+', '.join('%s = %s'%(a,t(b)) for a,b in e.items())+' },\n' for e in l)+']\n'
    return s
def one(n):
    if time.time()>END: return
    p=OUT+'/%s-%d.toml'%(TAG,n); open(p,'w').write(day(n))
    rep=p[:-5]+'.json'
    seed=n%7+1
    try: q=subprocess.run([BENCH,'run',SITE,p,'--seed',str(seed),'--report',rep],capture_output=True,text=True,timeout=600)
    except subprocess.TimeoutExpired: print(n,'TIMEOUT',flush=True); return
    try: r=json.load(open(rep))
    except Exception: print(n,'ERR',(q.stdout+q.stderr)[-300:].replace('\n',' | '),flush=True); return
    if r['breaks'] or r['fault'] or r['exits']:
        print(n,'seed',seed,'BREAK',json.dumps(r['breaks'])[:600],r['fault'],r['exits_n'],flush=True)
    else:
        os.remove(rep); os.remove(p)
    cnt[0]+=1
    if cnt[0]%(50 if 'grown' not in SITE else 5)==0: print('done',cnt[0],time.strftime('%T'),flush=True)
cnt=[0]
with ThreadPoolExecutor(JOBS) as ex:
    for _ in ex.map(one,range(100000)): pass
